import {createAccessIndex} from '@valvesaddle/access';
import {createAnswerStore} from '@valvesaddle/answers';
import {createCallerApi} from '@valvesaddle/caller-api';
import {createClaimClient} from '@valvesaddle/claims';
import {createUncoordinatedClient} from '@valvesaddle/alone';
import {createDispatchClient} from '@valvesaddle/client';
import {createConfigFollower} from '@valvesaddle/config-follower';
import {createConfigStore} from '@valvesaddle/config-store';
import {createEngineClient} from '@valvesaddle/engine';
import {createExecutor} from '@valvesaddle/execution';
import {createDispatchHost} from '@valvesaddle/host';
import {createKvClient} from '@valvesaddle/kv';
import {parseAddress} from '@valvesaddle/http-server';
import {createLogger} from '@valvesaddle/logger';
import {createMembership} from '@valvesaddle/membership';
import {createMetrics} from '@valvesaddle/metrics';
import {createPeerNetwork} from '@valvesaddle/network';
import {createOperatorServer, type NodeStatus} from '@valvesaddle/operator-server';
import {createServiceClient} from '@valvesaddle/service';
import {createTracing} from '@valvesaddle/tracing';
import type {Endpoint} from '@valvesaddle/types';
import {createVmListClient} from '@valvesaddle/vm-list';
import {createAnswerFinder} from './create-answer-finder.ts';
import {createAnswerReaders} from './create-answer-readers.ts';
import {createCatchUp} from './create-catch-up.ts';
import {createDrain} from './create-drain.ts';
import {createHealth} from './create-health.ts';
import {createPeerRequester} from './create-peer-requester.ts';
import {createPeerHandlers} from './create-peer-handlers.ts';
import type {Router} from './router.ts';
import type {RouterOptions} from './router-options.ts';

/**
 Creates a router node with all its components from its settings.

 @example
 const router = createRouter({settings});
 const {callers} = await router.start();
 */
export function createRouter({settings, onDrained}: RouterOptions): Router {
	const {node: {id: node, data_centre: dataCentre, region}, limits} = settings;
	const statsd = settings.observe.statsd === undefined ? undefined : parseAddress(settings.observe.statsd);
	const metrics = createMetrics({...statsd, node});
	const logger = createLogger({node, level: settings.observe.log_level});
	const tracing = createTracing({
		node, exporter: settings.observe.trace_exporter, url: settings.observe.trace_url, ratio: settings.observe.trace_ratio,
	});
	const kv = createKvClient({urls: settings.platform.kv_urls, timeoutMs: settings.platform.kv_timeout_ms, metrics});
	const store = createConfigStore(kv);
	const vmListUrl = settings.platform.vm_list_url;
	const membership = createMembership({
		self: {
			id: node, role: 'router', address: settings.peer.advertise ?? settings.listen.peers, dataCentre, region, state: 'live',
		},
		vmList: vmListUrl === undefined ? undefined : createVmListClient({url: vmListUrl, timeoutMs: settings.platform.kv_timeout_ms, metrics}),
		pollMs: settings.platform.vm_list_poll_ms,
		suspectMs: settings.dispatch.suspect_ms,
		metrics,
	});
	const network = createPeerNetwork({
		node,
		...parseAddress(settings.listen.peers),
		token: settings.peer.token,
		findAddress: membership.findAddress,
		linkTimeoutMs: settings.peer.silence_ms,
		isCompressed: settings.peer.compress,
		metrics,
	});
	const follower = createConfigFollower({
		store,
		watchMs: settings.platform.kv_watch_ms,
		retryMs: settings.platform.kv_timeout_ms,
		readPeerRecords: createPeerRequester({
			network, listPeers: () => [...network.connected(), ...membership.others()], revision: () => follower.revision(),
		}),
		metrics,
		logger,
	});
	const catchUp = createCatchUp({network, follower});
	const engines = createEngineClient({connectMs: limits.connect_ms, firstTokenMs: limits.first_token_ms, pauseMs: limits.pause_ms});
	const services = createServiceClient({connectMs: limits.connect_ms, replyMs: limits.service_reply_ms});
	const readLoad = async (endpoint: Endpoint) => isEnginePool(endpoint.pool) ? engines.readLoad(endpoint.url) : undefined;
	const host = createDispatchHost({
		node,
		membership,
		configuration: follower.configuration,
		readLoad,
		loadPollMs: settings.dispatch.load_poll_ms,
		warmupMs: settings.dispatch.warmup_ms,
		grantLeaseMs: settings.dispatch.grant_lease_ms,
		tracing,
		metrics,
		logger,
	});
	const dispatchClients = {
		pool: () => createDispatchClient({
			node, dataCentre, host, network, membership, progressMs: settings.dispatch.progress_ms, metrics, logger,
		}),
		alone: () => createUncoordinatedClient({
			configuration: follower.configuration, readLoad, loadPollMs: settings.dispatch.load_poll_ms,
		}),
	};
	const dispatch = dispatchClients[settings.dispatch.mode]();
	const claims = createClaimClient({
		node,
		kv,
		network,
		membership,
		shards: settings.claims.shards,
		windowMs: settings.claims.window_ms,
		writeIntervalMs: settings.claims.write_pause_ms,
		metrics,
		logger,
	});
	const answers = createAnswerStore({retentionMs: limits.keep_answer_ms, maximumCharacters: limits.keep_answer_bytes});
	const readers = createAnswerReaders({silenceMs: limits.abandon_ms});
	const executor = createExecutor({
		node, dispatch, engines, services, claims, answers, abandonMs: limits.abandon_ms, tracing, metrics,
	});
	const health = createHealth({
		node, follower, store, membership, network, gossipMs: settings.peer.gossip_ms, logger,
	});
	let access = createAccessIndex(follower.configuration());

	function isEnginePool(pool: string): boolean {
		return follower.configuration().pools.some(({name, kind}) => name === pool && kind === 'engine');
	}

	const callerApi = createCallerApi({
		node,
		region,
		...parseAddress(settings.listen.callers),
		executor,
		access: () => access,
		findAnswer: createAnswerFinder({
			node, answers, membership, network,
		}),
		refusal: health.refusal,
		isReady: () => health.state() === 'ready',
		isLeaving: () => health.state() === 'draining',
		bodyBytes: limits.body_bytes,
		metrics,
	});
	const operatorServer = createOperatorServer({
		...parseAddress(settings.listen.operators),
		operators: settings.operators.map(({name, role, token_sha256: tokenHash}) => ({name, role, tokenHash})),
		store,
		follower,
		status: getStatus,
		drain() {
			void drainOnRequest();
		},
		metrics,
	});
	const peerHandlers = createPeerHandlers({
		host, claims, answers, readers, follower, membership, catchUp,
	});

	function getStatus(): NodeStatus {
		return {
			node,
			revision: follower.revision(),
			state: health.state(),
			members: membership.routers(),
			pools: host.status(),
			openRequests: executor.countOpen(),
		};
	}

	follower.events.on('changed', ({data}) => {
		access = createAccessIndex(data.configuration);
		host.configure();
		network.broadcast('configuration.compare', {revision: data.revision});
	});
	network.events.on('lost', ({data}) => {
		membership.suspect(data.node);
		host.dropNode(data.node);
	});
	network.events.on('found', ({data}) => {
		membership.trust(data.node);
	});

	async function closeAll(): Promise<void> {
		health.close();
		follower.close();
		dispatch.close();
		host.close();
		answers.close();
		await membership.close();
		await network.close();
		callerApi.closeConnections();
		await Promise.all([operatorServer.close(), engines.close(), services.close(), kv.close()]);
		await tracing.close();
		await metrics.close();
	}

	const drain = createDrain({
		node, graceMs: settings.drain.grace_ms, health, membership, network, executor, readers, callerApi, closeAll,
	});

	async function drainOnRequest(): Promise<void> {
		await drain();
		onDrained?.();
	}

	return {
		metrics,
		tracing,
		status: getStatus,
		openRequestIds: answers.openIds,
		async start() {
			await membership.start();
			const peers = await network.listen(peerHandlers);
			follower.start();
			health.start();
			const operators = await operatorServer.listen();
			const callers = await callerApi.listen();
			logger.info({name: 'listening', what: 'callers', address: callers});
			return {callers, peers, operators};
		},
		drain,
		close: closeAll,
	};
}

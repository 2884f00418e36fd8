import {randomBytes} from 'node:crypto';
import {setTimeout as wait} from 'node:timers/promises';
import {createWaitBaselines} from '@valvesaddle/admission';
import {createByteLedger} from '@valvesaddle/buffers';
import {createClusterView, createStoreFollower} from '@valvesaddle/cluster-view';
import {createDemandTable, createSharing} from '@valvesaddle/demand';
import {toValvesaddleError} from '@valvesaddle/error';
import {createExchangeClient} from '@valvesaddle/exchange';
import {createFleetStore} from '@valvesaddle/fleet-store';
import {createForwarder} from '@valvesaddle/forwarding';
import {createFront} from '@valvesaddle/front';
import type {GatewayNode} from '@valvesaddle/gateway-types';
import {parseAddress} from '@valvesaddle/http-server';
import {createLogger} from '@valvesaddle/logger';
import {createMetrics, createMetricsPage} from '@valvesaddle/metrics';
import {createPeerNetwork} from '@valvesaddle/network';
import {createChunkPacer} from '@valvesaddle/pacing';
import {createCrashDetector} from '@valvesaddle/quarantine';
import {createRetryBudget} from '@valvesaddle/retry-budget';
import {createRouteIndex, findPauseObjectives, type RouteIndex} from '@valvesaddle/routes';
import {createSelector, formatIncarnation} from '@valvesaddle/selection';
import {createTurns, createWaitingRoom} from '@valvesaddle/waiting-room';
import {platformWire} from '@valvesaddle/wire';
import {createCallRecorder} from './create-call-recorder.ts';
import {createDutyTask} from './create-duty-task.ts';
import {createPeerSync} from './create-peer-sync.ts';
import {createReadyServer} from './create-ready-server.ts';
import {defaultLimits} from './default-limits.ts';
import type {Gateway} from './gateway.ts';
import type {GatewayOptions} from './gateway-options.ts';
import {isFormerProcess} from './is-former-process.ts';
import {measureCapacity} from './measure-capacity.ts';
import {startHeldGauges} from './start-held-gauges.ts';
import {toBufferLimits} from './to-buffer-limits.ts';
import {toSelectorOptions} from './to-selector-options.ts';

const msPerSecond = 1000;
const bytesPerMegabyte = 1_000_000;
/**
Random bytes of a node's id and token.
*/
const idBytes = 4;
const tokenBytes = 18;
/**
Share of the grace period that is reserved for closing connections and writing logs.
*/
const reservedGraceShare = 0.1;
/**
Share of the grace period, within the reserved one, for sending answers that wait for their callers.
*/
const flushGraceShare = 0.05;
/**
Small chunks a second that all connections beyond their allowance share, for a reference core: a small part of what it can parse.
*/
const chunksPerCoreS = 100_000;
/**
How long a node that stops waits for the store and its peers, in milliseconds.
*/
const closeTimeoutMs = 200;

/**
 Creates a gateway node from its settings and connects its components.

 @example
 const gateway = createGateway({settings});
 await gateway.start();
 */
export function createGateway({settings}: GatewayOptions): Gateway {
	const {node: {name}, listen, store: storeSettings, retry, admission, drain: drainSettings, peers} = settings;
	const self: GatewayNode = {
		id: `${name}.${randomBytes(idBytes).toString('hex')}`,
		address: listen.peers,
		token: randomBytes(tokenBytes).toString('base64url'),
		dataCentre: settings.node.data_centre,
		capacity: measureCapacity(settings.node),
	};
	const page = createMetricsPage();
	const metrics = createMetrics({node: name, page});
	const logger = createLogger({node: self.id, level: settings.observe.log_level, to: 'output'});
	const view = createClusterView({logger, metrics});
	const store = createFleetStore({
		address: storeSettings.address,
		timeoutMs: storeSettings.timeout_ms,
		onCall: createCallRecorder(metrics),
	});
	const follower = createStoreFollower({
		store,
		view,
		self,
		watchMs: storeSettings.watch_ms,
		gatherMs: storeSettings.gather_ms,
		settleMs: storeSettings.settle_ms,
		retryMs: storeSettings.retry_ms,
		leaseMs: storeSettings.lease_ms,
		renewMs: storeSettings.renew_ms,
		removalGraceMs: storeSettings.lapse_grace_ms,
		isNeeded: () => sync.isStoreNeeded(),
		isFollower: () => sync.isFollower(),
		logger,
		metrics,
	});
	const network = createPeerNetwork({
		node: self.id,
		...parseAddress(listen.peers),
		token: self.token,
		findAddress: id => view.nodes().find(node => node.id === id)?.address,
		findToken: id => view.nodes().find(node => node.id === id)?.token ?? '',
		linkTimeoutMs: peers.silence_ms,
		isCompressed: false,
		metrics,
	});
	const ledger = settings.buffers && createByteLedger(toBufferLimits(settings.buffers));
	const endGauges = ledger && startHeldGauges(ledger, metrics);
	const selector = createSelector({
		...toSelectorOptions(settings, {logger, metrics}),
		hasConnection: address => exchanges.hasIdle(address),
		fleet: {self: self.id, list: () => listFleet()},
		onPlacement() {
			sync.sendPlacements();
		},
		onRoom(incarnation) {
			room?.wake(incarnation);
		},
	});
	// Fixed at the start, so that a change of the system time moves no request into another window.
	const startedAt = Date.now() - performance.now();
	const toUnixTime = (at: number): number => startedAt + at;
	const sharingWindowMs = settings.sharing.window_s * msPerSecond;
	const demandTable = settings.sharing.enabled
		? createDemandTable({
			windowMs: sharingWindowMs, countNodes: () => view.nodes().length, isOutdated: id => isFormerProcess(id, view.nodes().map(node => node.id)), logger,
		})
		: undefined;
	const sharing = demandTable && createSharing({
		table: demandTable, windowMs: sharingWindowMs, logger, metrics,
	});
	const room = settings.waiting.enabled
		? createWaitingRoom({
			most: settings.waiting.most, mostBytes: settings.waiting.most_mb * bytesPerMegabyte, returnFactor: admission.return_factor, turns: createTurns({fleet: {self: self.id, list: () => listFleet()}, toUnixTime}), logger, metrics,
		})
		: undefined;
	const {sync, handlers} = createPeerSync({
		self,
		network,
		view,
		follower,
		selector,
		demandTable,
		loadUpdateMs: peers.news_ms,
		hasOpenRequests: () => forwarder.countOpen() > 0,
		...(settings.duties !== undefined && {usage: {windowMs: settings.duties.window_s * msPerSecond, toUnixTime}}),
		heartbeatMs: peers.heartbeat_ms,
		meshNodes: peers.mesh_nodes,
		suspectMs: peers.suspect_ms,
		logger,
		metrics,
	});
	let highestNodeCount = retry.assumed_nodes;
	const budget = createRetryBudget({
		ratio: retry.ratio, slack: retry.slack, windowMs: retry.window_s * msPerSecond, countNodes: () => highestNodeCount,
	});
	const pacer = createChunkPacer({chunksPerS: chunksPerCoreS * settings.node.cpu_share * settings.node.core_speed});
	const exchanges = createExchangeClient({
		pacer,
		connectMs: settings.limits.connect_ms,
		keepAliveMs: settings.limits.keep_alive_ms,
		onConnect() {
			metrics.increment('gateway.connections');
		},
	});
	const duties = settings.duties && createDutyTask({
		name, process: self.id, settings: settings.duties, store: {address: storeSettings.address, timeoutMs: storeSettings.timeout_ms}, view, selector, sync, toUnixTime, logger, metrics,
	});
	const crashDetector = createCrashDetector({
		isServing: selector.isServing,
		onCrash(endpoint, digests, evidence) {
			metrics.increment('gateway.endpoint-crashes', 1, {evidence});
			logger.warn({
				name: 'endpoint-crashed', endpoint, evidence, requests: digests.length,
			});
			sync.quarantine.recordCrash(endpoint, digests);
		},
	});
	const forwarder = createForwarder({
		wire: platformWire,
		selector,
		exchanges,
		budget,
		waits: createWaitBaselines(),
		...(sharing !== undefined && {sharing}),
		quarantine: sync.quarantine,
		crashDetector,
		onStarted(account, at) {
			sync.usage?.count(account, at);
		},
		admission: {lateFactor: admission.late_factor, waitFactor: admission.wait_factor, retryAfterFactor: admission.return_factor},
		room,
		logger,
		metrics,
	});
	let routes: RouteIndex | undefined;
	let isLeaving = false;
	const front = createFront({
		...parseAddress(listen.callers),
		wire: platformWire,
		forwarder,
		routes: () => routes,
		limits: () => view.configuration()?.limits ?? defaultLimits,
		isCurrent: () => sync.isCurrent(),
		isLeaving: () => isLeaving,
		ledger,
		pacer,
		logger,
		metrics,
	});
	const ready = createReadyServer({
		...parseAddress(listen.ready),
		isReady: () => routes !== undefined && !isLeaving,
		readMetrics: page.format,
	});
	const metricsServer = listen.metrics === undefined ? undefined : createReadyServer({...parseAddress(listen.metrics), isReady: () => true, readMetrics: page.format});

	/**
	This node and all others, also before its own entry is known.
	*/
	function listFleet(): readonly string[] {
		const nodes = view.nodes().map(({id}) => id);
		return nodes.includes(self.id) ? nodes : [...nodes, self.id];
	}

	view.events.on('configuration', ({data: {configuration}}) => {
		routes = createRouteIndex(configuration);
		selector.setPools(configuration.pools);
		selector.setPauseObjectives(findPauseObjectives(configuration.routes));
		front.configure();
		sharing?.configure(configuration.accounts);
	});
	view.events.on('incarnation', ({data: {endpoint, before}}) => {
		// A retry must not reuse a connection to the terminated process.
		exchanges.closeAddress(before.address);
		crashDetector.recordEnded(formatIncarnation(before), 'restarted');
		selector.setIncarnation(endpoint);
	});
	view.events.on('endpoint', ({data: {endpoint}}) => {
		selector.addEndpoint(endpoint);
	});
	view.events.on('endpointRemoved', ({data: {id, endpoint}}) => {
		crashDetector.recordEnded(formatIncarnation(endpoint), 'removed');
		selector.removeEndpoint(id);
		exchanges.closeAddress(endpoint.address);
	});
	view.events.on('node', () => {
		highestNodeCount = Math.max(highestNodeCount, view.nodes().length);
	});

	/**
	Closes the node while the answers that wait for their callers are sent, for the given time in milliseconds at most.
	*/
	async function closeAfter(flushMs: number): Promise<void> {
		const callersClosed = front.stop(flushMs);
		sync.close();
		await Promise.race([duties?.close(), wait(closeTimeoutMs, undefined, {ref: false})]);
		await Promise.race([follower.close(), wait(closeTimeoutMs, undefined, {ref: false})]);
		await callersClosed;
		endGauges?.();
		view.close();
		await Promise.race([Promise.all([network.close(), ready.close(), metricsServer?.close(), exchanges.close(), store.close(), metrics.close()]), wait(closeTimeoutMs, undefined, {ref: false})]);
		logger.info({name: 'node-state', from: 'leaving', to: 'stopped'});
		await logger.flush();
	}

	/**
	The node serves callers even if its metrics server cannot listen.
	*/
	async function startMetrics(): Promise<void> {
		try {
			await metricsServer?.listen();
		} catch (error) {
			logger.warn({name: 'metrics-unavailable', address: listen.metrics ?? '', reason: toValvesaddleError(error).message});
		}
	}

	async function drain(): Promise<void> {
		isLeaving = true;
		// Another node can take over before the last answer has ended here.
		void duties?.close();
		logger.info({
			name: 'node-state', from: 'serving', to: 'leaving', open: forwarder.countOpen(),
		});
		const graceMs = drainSettings.grace_s * msPerSecond;
		const usableMs = graceMs * (1 - reservedGraceShare);
		// The load balancer stops sending callers after a few failed health checks.
		await wait(Math.min(drainSettings.balancer_ms, usableMs));
		await Promise.race([front.drain(), wait(usableMs - drainSettings.balancer_ms, undefined, {ref: false})]);
		await closeAfter(graceMs * flushGraceShare);
	}

	return {
		async start() {
			logger.info({
				name: 'node-state', from: 'stopped', to: 'starting', open: 0,
			});
			const [callers, readyAddress, peerAddress] = [await front.listen(), await ready.listen(), await network.listen(handlers)];
			await startMetrics();
			follower.start();
			sync.start();
			duties?.start();
			logger.info({name: 'listening', what: 'callers', address: callers});
			return {callers, ready: readyAddress, peers: peerAddress};
		},
		drain,
		reload(changed) {
			logger.info({name: 'settings-read', isAccepted: true, reason: changed.node.name});
		},
		rejectReload(error) {
			logger.warn({name: 'settings-read', isAccepted: false, reason: error instanceof Error ? error.message : String(error)});
		},
		close: async () => closeAfter(0),
	};
}

import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {findPercentile, formatTable} from '@valvesaddle/bench-harness';
import {createDispatchClient} from '@valvesaddle/client';
import {createDispatchHost, type DispatchHost} from '@valvesaddle/host';
import {createLogger} from '@valvesaddle/logger';
import {createMembership, type Membership} from '@valvesaddle/membership';
import {
	acquireRequestSchema,
	progressMessageSchema,
	registerRequestSchema,
	releaseReportSchema,
} from '@valvesaddle/messages';
import {createMetrics, type Metrics} from '@valvesaddle/metrics';
import {createPeerNetwork, type PeerHandlers} from '@valvesaddle/network';
import {createTracing} from '@valvesaddle/tracing';
import {createFullConfiguration} from './create-full-configuration.ts';

const rates = [50, 200, 800];
const lengthMs = 4000;
const holdMs = 300;
const token = 'bench-peer-token-0123456789';
const bytesPerMessage = 60;
const silenceMs = 600;

/**
 Measures what grants cost that are asked for at one node and given by the dispatcher on another, both in this process:
 processor time and bytes of both sides together, per request.

 @example
 console.log(await measureGrants());
 */
export async function measureGrants(): Promise<string> {
	const rows: string[][] = [];
	for (const rate of rates) {
		// eslint-disable-next-line no-await-in-loop -- one rate after the other
		rows.push(await measureRate(rate));
	}

	return formatTable(['requests/s', 'CPU per request, both sides', 'bytes per request, one side', 'messages per request', 'time to a grant p50', 'p99'], rows);
}

function createSide(node: string, addresses: ReadonlyMap<string, string>, metrics: Metrics) {
	const network = createPeerNetwork({
		node, host: '127.0.0.1', port: 0, token, findAddress: name => addresses.get(name), linkTimeoutMs: silenceMs, isCompressed: false, metrics,
	});
	const membership: Membership = {
		...createMembership({
			self: {
				id: node, role: 'router', address: '', dataCentre: 'dc-1', region: 'region-0', state: 'live',
			},
			vmList: undefined,
			pollMs: 1000,
			suspectMs: 3000,
			metrics,
		}),
		routers: () => ['dispatcher'],
		others: () => ['dispatcher'],
	};
	const logger = createLogger({node, level: 'silent'});
	const configuration = createFullConfiguration(0.02);
	const host = createDispatchHost({
		node, membership, configuration: () => configuration, readLoad: async () => undefined, loadPollMs: 60_000, warmupMs: 1, grantLeaseMs: 5000,
		tracing: createTracing({node, exporter: 'none', ratio: 0}), metrics, logger,
	});
	return {
		network, membership, host, logger, configuration,
	};
}

function createHandlers(host: DispatchHost): PeerHandlers {
	return {
		'dispatch.acquire': async parameters => host.acquire(acquireRequestSchema.parse(parameters)),
		'dispatch.release'(parameters) {
			host.release(releaseReportSchema.parse(parameters));
		},
		'dispatch.progress'(parameters) {
			host.progress(progressMessageSchema.parse(parameters));
		},
		'dispatch.register'(parameters) {
			host.register(registerRequestSchema.parse(parameters));
		},
	};
}

async function measureRate(rate: number): Promise<string[]> {
	const addresses = new Map<string, string>();
	const metrics = createMetrics();
	const asking = createSide('asking', addresses, metrics);
	const dispatching = createSide('dispatcher', addresses, createMetrics());
	addresses.set('dispatcher', await dispatching.network.listen(createHandlers(dispatching.host)));
	await asking.network.listen({});
	const client = createDispatchClient({
		node: 'asking', dataCentre: 'dc-1', host: asking.host, network: asking.network, membership: asking.membership, progressMs: 1000, metrics, logger: asking.logger,
	});
	const pool = asking.configuration.pools[0]!.name;
	const times: number[] = [];
	const {signal} = new AbortController();

	async function runRequest(number: number): Promise<void> {
		const startedAt = performance.now();
		const grant = await client.acquire({
			requestId: `asking_${crypto.randomUUID()}`, pool, account: `client-account-${number % 10}`, className: 'tier-0', arrivedAt: Date.now(), ranMs: 0, resumes: true,
			promptTokens: 500, tokensSoFar: 0, session: `session-${number % 100}`, repeatable: true, avoid: [], trace: {},
		}, signal);
		times.push(performance.now() - startedAt);
		if (grant.isErr()) {
			return;
		}

		await delay(holdMs);
		client.progress(grant.value.grantId, 100, 100);
		client.release({
			grantId: grant.value.grantId, outcome: 'complete', tokens: 200, firstTokenMs: 100, interTokenMs: 5,
		});
	}

	await runRequest(0);
	times.length = 0;
	const before = process.cpuUsage();
	const bytesBefore = metrics.total('peer.bytes-sent') + metrics.total('peer.bytes-received');
	const messagesBefore = metrics.total('peer.messages-sent') + metrics.total('peer.messages-received');
	const running: Array<Promise<void>> = [];
	const startedAt = performance.now();
	while (performance.now() - startedAt < lengthMs) {
		const due = Math.floor(((performance.now() - startedAt) / 1000) * rate);
		while (running.length < due) {
			running.push(runRequest(running.length));
		}

		// eslint-disable-next-line no-await-in-loop -- requests come at their rate
		await delay(2);
	}

	await Promise.all(running);
	const usage = process.cpuUsage(before);
	const messages = (metrics.total('peer.messages-sent') + metrics.total('peer.messages-received') - messagesBefore) / running.length;
	const bytes = (metrics.total('peer.bytes-sent') + metrics.total('peer.bytes-received') - bytesBefore) / running.length;
	client.close();
	asking.host.close();
	dispatching.host.close();
	await asking.network.close();
	await dispatching.network.close();
	return [
		String(rate),
		`${((usage.user + usage.system) / running.length).toFixed(0)} us`,
		`${(bytes + (messages * bytesPerMessage)).toFixed(0)} B`,
		messages.toFixed(1),
		`${findPercentile(times, 0.5).toFixed(1)} ms`,
		`${findPercentile(times, 0.99).toFixed(1)} ms`,
	];
}

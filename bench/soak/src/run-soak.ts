import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as wait} from 'node:timers/promises';
import {createFakeConfiguration, startFakeFleetStore} from '@valvesaddle/fake-fleet-store';
import {createRandom} from '@valvesaddle/random';
import type {AppliedFault} from './applied-fault.ts';
import type {Arrival} from './arrival.ts';
import type {Attempt} from './attempt.ts';
import {checkPromises} from './check-promises.ts';
import {createFaultHandlers} from './create-fault-handlers.ts';
import type {Departure} from './departure.ts';
import type {LimitNotice} from './limit-notice.ts';
import {listReadRequests} from './list-read-requests.ts';
import {markCrashedRuns} from './mark-crashed-runs.ts';
import type {Observation} from './observation.ts';
import type {Notice} from './notice.ts';
import {planFaults} from './plan-faults.ts';
import type {RetrySettings} from './retry-settings.ts';
import type {Run} from './run.ts';
import type {Crash} from './crash.ts';
import {runCaller} from './run-caller.ts';
import {runCrashingCaller} from './run-crashing-caller.ts';
import type {SoakEndpoint} from './soak-endpoint.ts';
import type {SoakNode} from './soak-node.ts';
import type {SoakResult} from './soak-result.ts';
import {startNode} from './start-node.ts';
import {startSoakEndpoint} from './start-soak-endpoint.ts';

type SoakOptions = {
	readonly seed: number;
	/**
	How long faults come, in seconds; some calm follows.
	*/
	readonly seconds: number;
	readonly nodes?: number;
	readonly callers?: number;
};

const endpointCount = 4;
const fewRetries: RetrySettings = {
	ratio: 0.02, slack: 8, assumedNodes: 8, windowS: 10,
};
const noRetries: RetrySettings = {
	ratio: 0, slack: 0, assumedNodes: 8, windowS: 10,
};
/**
Retries that a seed's nodes may spend: plenty, so few that none are left at times, none, or a slack that matters to how often processes
start.
*/
const retrySettings: readonly RetrySettings[] = [
	{
		ratio: 0.1, slack: 1000, assumedNodes: 8, windowS: 0.1,
	},
	fewRetries,
	noRetries,
	{
		ratio: 0.02, slack: 12, assumedNodes: 3, windowS: 4,
	},
	fewRetries,
	noRetries,
];
/**
Calm after the last fault, and the end of it in which everything has to be served, in milliseconds.
*/
const calmMs = 6000;
const servedMs = 2000;
const readyCheckMs = 100;
/**
Time for which an endpoint says in its answers that it leaves before its entry does, in milliseconds.
*/
const announcedMs = 4000;

/**
Time after which the entry of a process that has ended expires, in milliseconds.
*/
const entryExpiryMs = 1200;

/**
 Runs nodes, callers and endpoints under the faults of a seed, and checks the promises.

 @example
 const {breaches} = await runSoak({seed: 7, seconds: 10});
 */
export async function runSoak({seed, seconds, nodes: nodeCount = 3, callers = 12}: SoakOptions): Promise<SoakResult> {
	const random = createRandom(seed);
	const retry = retrySettings[seed % retrySettings.length]!;
	const folder = await mkdtemp(path.join(tmpdir(), `soak-${seed}-`));
	const store = await startFakeFleetStore();
	const startedAt = performance.now();
	const now = (): number => Math.round(performance.now() - startedAt);
	const attempts: Attempt[] = [];
	const runs: Run[] = [];
	const arrivals: Arrival[] = [];
	const notices: Notice[] = [];
	const crashes: Crash[] = [];
	const limits: LimitNotice[] = [];
	const departures: Departure[] = [];
	const versions: Array<{version: number; at: number}> = [];
	const drains: Array<{endpoint: string; at: number}> = [];
	/**
	Endpoints in use, by place, and all that ever were.
	*/
	const endpoints: SoakEndpoint[] = [];
	const allEndpoints: SoakEndpoint[] = [];
	let ready: readonly SoakNode[] = [];
	let endAt = Infinity;
	let crashingCaller: Promise<void> | undefined;

	async function addEndpoint(place: number): Promise<void> {
		const endpoint = await startSoakEndpoint({
			id: `e${allEndpoints.length + 1}`, random, now, onRun(run) {
				runs.push(run);
			},
			onArrival(arrival) {
				arrivals.push(arrival);
			},
			onNotice(notice) {
				notices.push(notice);
			},
			onLimit(limit) {
				limits.push(limit);
			},
			onCrash(crashPath) {
				void endEndpoint(endpoint, crashPath);
			},
		});
		endpoints[place] = endpoint;
		allEndpoints.push(endpoint);
		registerEndpoint(endpoint, 'ready');
	}

	/**
	The entry of a process that has ended expires after some heartbeats; another process takes its place, if it had one.
	*/
	async function endEndpoint(ended: SoakEndpoint, crashPath: string): Promise<void> {
		if (crashes.some(({endpoint}) => endpoint === ended.id)) {
			return;
		}

		crashes.push({path: crashPath, endpoint: ended.id, at: now()});
		await ended.close();
		await wait(entryExpiryMs);
		store.remove(`servers/${ended.id}`);
		const place = endpoints.indexOf(ended);
		// An endpoint that starts after the run would listen for ever.
		if (place !== -1 && now() < endAt) {
			await addEndpoint(place);
		}
	}

	function startCrashing(): void {
		crashingCaller = runCrashingCaller({
			random: createRandom((seed * 1000) + 999), now, listReady: () => ready, isOver: () => now() >= endAt, onAttempt(attempt) {
				attempts.push(attempt);
			},
		});
	}

	function registerEndpoint({id, address}: SoakEndpoint, state: 'ready' | 'draining'): void {
		store.registerEndpoint(id, {
			pool: 'desk', address, slots: 8, state,
		});
	}

	function publishConfiguration(): void {
		const version = versions.length + 1;
		store.publish(createFakeConfiguration(version));
		versions.push({version, at: now()});
	}

	/**
	The endpoint serves on for as long as a platform's would; another takes its place.
	*/
	async function moveEndpoint(place: number, isAnnounced = false): Promise<void> {
		const leaving = endpoints[place];
		if (leaving === undefined) {
			return;
		}

		await addEndpoint(place);
		if (isAnnounced) {
			leaving.setFault('announce');
			await wait(announcedMs);
		}

		registerEndpoint(leaving, 'draining');
		drains.push({endpoint: leaving.id, at: now()});
	}

	const handlers = createFaultHandlers({
		store, nodes: () => nodes, endpoints, publishConfiguration, moveEndpoint, startCrashing,
	});

	async function applyFault(fault: AppliedFault): Promise<AppliedFault> {
		await wait(fault.at);
		const at = now();
		handlers[fault.kind].begin(fault);
		await wait(fault.until - fault.at);
		handlers[fault.kind].end?.(fault);
		return {...fault, at, until: now()};
	}

	async function watchReady(): Promise<void> {
		while (now() < endAt) {
			// eslint-disable-next-line no-await-in-loop -- asks again and again, as a balancer does
			const answers = await Promise.all(nodes.map(async node => node.isReady()));
			ready = nodes.filter((_node, index) => answers[index]);
			// eslint-disable-next-line no-await-in-loop -- the balancer's pause
			await wait(readyCheckMs);
		}
	}

	const nodes = await Promise.all(Array.from({length: nodeCount}, async (_value, index) => startNode({
		name: `n${index}`, store: store.address, folder, retry,
	})));
	for (let place = 0; place < endpointCount; place++) {
		// eslint-disable-next-line no-await-in-loop -- in the order of their numbers
		await addEndpoint(place);
	}

	publishConfiguration();
	const watching = watchReady();
	while (ready.length < nodeCount) {
		// eslint-disable-next-line no-await-in-loop -- polls
		await wait(readyCheckMs);
	}

	const calling = Array.from({length: callers}, async (_value, number) => runCaller({
		number,
		random: createRandom((seed * 1000) + number),
		habits: createRandom((seed * 1000) + 500 + number),
		departures: createRandom((seed * 1000) + 700 + number),
		now,
		listReady: () => ready,
		listVersions: () => versions.slice(-2).map(({version}) => version),
		isOver: () => now() >= endAt,
		onAttempt(attempt) {
			attempts.push(attempt);
		},
		onDeparture(departure) {
			departures.push(departure);
		},
	}));
	const plan = planFaults({
		random, lengthMs: seconds * 1000, nodes: nodeCount, endpoints: endpointCount,
	});
	const faults = await Promise.all(plan.map(async fault => applyFault(fault)));
	await wait(calmMs);
	endAt = now() + servedMs;
	const calmFrom = now();
	await Promise.all([watching, crashingCaller, ...calling]);
	await Promise.all([...nodes.map(async node => node.close()), ...allEndpoints.map(async endpoint => endpoint.close()), store.close()]);
	const read = await listReadRequests(folder, nodes.map(({name}) => name));
	const observation: Observation = {
		attempts, runs: markCrashedRuns(runs, crashes, attempts), read, arrivals, notices, crashes, limits, departures, retry, faults, versions, drains, calmFrom,
	};
	const breaches = checkPromises(observation);
	if (breaches.length === 0) {
		await rm(folder, {recursive: true, force: true});
	}

	return {
		seed, folder, breaches, observation,
	};
}

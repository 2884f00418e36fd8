import {setTimeout as delay} from 'node:timers/promises';
import {
	fitLine,
	formatTable,
	readProcessUsage,
	startBenchFleet,
	type BenchFleet,
	type Line,
	type ProcessUsage,
} from '@valvesaddle/bench-harness';
import {createDemoConfiguration, fleetKeys} from '@valvesaddle/fake-fleet';
import {createOperatorClient} from '@valvesaddle/operator-client';
import type {Configuration} from '@valvesaddle/types';
import type {CounterSink} from './counter-sink.ts';
import {createFullConfiguration} from './create-full-configuration.ts';
import {startCounterSink} from './start-counter-sink.ts';

const sizes = [3, 8, 16, 32, 64];
const settleMs = 4000;
const measuredMs = 10_000;
const byteCounters = ['peer.bytes-sent', 'peer.bytes-received', 'kv.bytes-received', 'membership.bytes-received'];
/**
Frames, TCP and IP headers of a message, beside its payload.
*/
const bytesPerMessage = 60;
const flushMs = 1500;
const pollMs = 5;
const changes = 5;
/**
Part of the size designed for that is applied; the stand-ins share one process with the watch of every node.
*/
const configurationPart = 0.25;

type Sample = {
	readonly nodes: number;
	/**
	Of a core.
	*/
	readonly cpuPart: number;
	readonly residentBytes: number;
	readonly bytesPerSecond: number;
	/**
	Calls on the key-value service, all nodes together.
	*/
	readonly kvCallsPerSecond: number;
	readonly spreadMs: number;
};

/**
 Measures idle fleets of growing size: control's processor time, memory and bytes per node, and how long a change takes
 until it is in force on every node.

 @example
 console.log(await measureFleet());
 */
export async function measureFleet(): Promise<string> {
	const samples: Sample[] = [];
	for (const nodes of sizes) {
		// eslint-disable-next-line no-await-in-loop -- one size after the other
		samples.push(await measureSize(nodes));
	}

	const table = formatTable(['nodes', 'CPU of a core', 'resident', 'control bytes/s', 'key-value calls/s of the fleet', 'change in force everywhere'], samples.map(sample => [
		String(sample.nodes), `${(sample.cpuPart * 100).toFixed(2)} %`, `${(sample.residentBytes / 1e6).toFixed(0)} MB`, sample.bytesPerSecond.toFixed(0), sample.kvCallsPerSecond.toFixed(1), `${sample.spreadMs.toFixed(0)} ms`,
	]));
	const fits: ReadonlyArray<readonly [string, Line, number]> = [
		['CPU, % of a core', fitSamples(samples, ({cpuPart}) => cpuPart * 100), 3],
		['resident, MB', fitSamples(samples, ({residentBytes}) => residentBytes / 1e6), 3],
		['control bytes/s', fitSamples(samples, ({bytesPerSecond}) => bytesPerSecond), 1],
		['change in force, ms', fitSamples(samples, ({spreadMs}) => spreadMs), 2],
	];
	const lines = formatTable(['per node', 'at 0', 'slope per node', 'error of the fit'], fits.map(([name, {intercept, slope, error}, digits]) => [
		name, intercept.toFixed(digits), slope.toFixed(digits + 1), error.toFixed(digits),
	]));
	return `${table}\n\n${lines}`;
}

function fitSamples(samples: readonly Sample[], read: (sample: Sample) => number): Line {
	return fitLine(samples.map(sample => ({x: sample.nodes, y: read(sample)})));
}

async function measureSize(nodes: number): Promise<Sample> {
	const sink = await startCounterSink();
	const fleet = await startBenchFleet({nodes, engines: [{}], statsd: sink.address});
	try {
		const demo = createDemoConfiguration({engineUrls: fleet.standIns.engines, serviceUrl: fleet.standIns.service});
		await fleet.apply(demo);
		await delay(settleMs);
		const idle = await measureIdle(fleet, sink);
		const spreadMs = await measureSpread(fleet, addFullConfiguration(demo));
		return {nodes, ...idle, spreadMs};
	} finally {
		await fleet.close();
		sink.close();
	}
}

async function measureIdle(fleet: BenchFleet, sink: CounterSink): Promise<Omit<Sample, 'nodes' | 'spreadMs'>> {
	const before = await readAll(fleet);
	const bytesBefore = addUpBytes(sink);
	const callsBefore = sink.total('kv.calls');
	await delay(measuredMs);
	const after = await readAll(fleet);
	const bytes = addUpBytes(sink) - bytesBefore;
	const count = fleet.nodes.length;
	return {
		cpuPart: (addUp(after, ({cpuMs}) => cpuMs) - addUp(before, ({cpuMs}) => cpuMs)) / measuredMs / count,
		residentBytes: addUp(after, ({residentBytes}) => residentBytes) / count,
		bytesPerSecond: bytes / (measuredMs / 1000) / count,
		kvCallsPerSecond: (sink.total('kv.calls') - callsBefore) / (measuredMs / 1000),
	};
}

async function readAll(fleet: BenchFleet): Promise<readonly ProcessUsage[]> {
	return Promise.all(fleet.nodes.map(async node => readProcessUsage(node.process.pid)));
}

function addUp(usages: readonly ProcessUsage[], read: (usage: ProcessUsage) => number): number {
	let sum = 0;
	for (const usage of usages) {
		sum += read(usage);
	}

	return sum;
}

function addUpBytes(sink: CounterSink): number {
	let sum = sink.total('peer.messages-sent') * bytesPerMessage * 2;
	for (const name of byteCounters) {
		sum += sink.total(name);
	}

	return sum;
}

function addFullConfiguration(demo: Configuration): Configuration {
	const full = createFullConfiguration(configurationPart);
	return {
		classes: [...demo.classes, ...full.classes.map(requestClass => ({...requestClass, floor: 0.01}))],
		accounts: [...demo.accounts, ...full.accounts],
		pools: [...demo.pools, ...full.pools],
		endpoints: [...demo.endpoints, ...full.endpoints],
		bindings: [...demo.bindings, ...full.bindings],
	};
}

/**
Longest of some changes, from acceptance until the last node has it in force.
*/
async function measureSpread(fleet: BenchFleet, configuration: Configuration): Promise<number> {
	const clients = fleet.nodes.map(({operators}) => createOperatorClient({url: `http://${operators}`, token: fleetKeys.editor}));
	let longestMs = 0;
	for (let change = 0; change < changes; change++) {
		const next = {...configuration, classes: configuration.classes.map(requestClass => ({...requestClass, weight: change + 1}))};
		// eslint-disable-next-line no-await-in-loop -- one change after the other
		const revision = await fleet.apply(next);
		const acceptedAt = performance.now();
		// eslint-disable-next-line no-await-in-loop -- one change after the other
		await Promise.all(clients.map(async client => waitForRevision(client, revision)));
		longestMs = Math.max(longestMs, performance.now() - acceptedAt);
		// eslint-disable-next-line no-await-in-loop -- one change after the other
		await delay(flushMs);
	}

	return longestMs;
}

async function waitForRevision(client: ReturnType<typeof createOperatorClient>, revision: number): Promise<void> {
	for (;;) {
		// eslint-disable-next-line no-await-in-loop -- polls
		const status = await client.getStatus({});
		if (status.revision >= revision) {
			return;
		}

		// eslint-disable-next-line no-await-in-loop -- polls
		await delay(pollMs);
	}
}

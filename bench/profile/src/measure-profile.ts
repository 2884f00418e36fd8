import {mkdtemp, rm} from 'node:fs/promises';
import {createServer} from 'node:net';
import {once} from 'node:events';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as wait} from 'node:timers/promises';
import {formatTable, readProcessUsage} from '@valvesaddle/bench-harness';
import {startFakeFleetStore} from '@valvesaddle/fake-fleet-store';
import {startListening} from '@valvesaddle/fake-http';
import {buildProgram} from './build-program.ts';
import {createProfiledConfiguration} from './create-profiled-configuration.ts';
import type {ProfiledFleet} from './profiled-fleet.ts';
import {runRequests} from './run-requests.ts';
import {startProfiledNode} from './start-profiled-node.ts';
import {startStreamingEndpoint} from './start-streaming-endpoint.ts';
import {summarizeProfiles} from './summarize-profiles.ts';

/**
Time after the start of all nodes until they are measured, in milliseconds.
*/
const settleMs = 8000;
const shownPackages = 28;
const shownFunctions = 45;
const busiestShare = 0.1;
const bytesPerMegabyte = 1_000_000;

/**
 Starts a fleet, sends it requests, and tells where its processor time went: tables in Markdown.

 @example
 await measureProfile({nodes: 40, endpoints: 60, requestsPerS: 200, seconds: 20, isSampled: false, flags: [], binary: undefined});
 */
export async function measureProfile(fleet: ProfiledFleet): Promise<string> {
	const folder = await mkdtemp(path.join(tmpdir(), 'profile-'));
	const program = await buildProgram(folder);
	const store = await startFakeFleetStore();
	store.publish(createProfiledConfiguration());
	const endpoints = await Promise.all(Array.from({length: fleet.endpoints}, startStreamingEndpoint));
	for (const [index, {address}] of endpoints.entries()) {
		store.registerEndpoint(`i-${index}`, {
			pool: 'drafting', address, slots: 12, state: 'ready',
		});
	}

	const addresses = await findFreeAddresses(3 * fleet.nodes);
	const nodes = await Promise.all(Array.from({length: fleet.nodes}, async (_value, index) => {
		const [callers = '', ready = '', peers = ''] = addresses.slice(3 * index);
		return startProfiledNode({
			name: `n${index}`, program, binary: fleet.binary, store: store.address, folder, isSampled: fleet.isSampled, flags: fleet.flags, callers, ready, peers,
		});
	}));
	await wait(settleMs);
	const started = await Promise.all(nodes.map(async node => readProcessUsage(node.pid())));
	const served = fleet.requestsPerS === 0
		? await wait(fleet.seconds * 1000, 0)
		: await runRequests({...fleet, targets: nodes.map(({callers}) => callers)});
	const ended = await Promise.all(nodes.map(async node => readProcessUsage(node.pid())));
	await Promise.all(nodes.map(async node => node.stop()));
	await Promise.all([store.close(), ...endpoints.map(async endpoint => endpoint.close())]);

	const used = ended.map(({cpuMs}, index) => cpuMs - (started[index]?.cpuMs ?? 0));
	const sorted = used.toSorted((a, b) => a - b);
	const total = used.reduce((sum, milliseconds) => sum + milliseconds, 0);
	const starts = started.reduce((sum, {cpuMs}) => sum + cpuMs, 0);
	const sums = fleet.isSampled ? await summarizeProfiles({files: nodes.map(({profile}) => profile), program, skippedMs: settleMs}) : undefined;
	await rm(folder, {recursive: true, force: true});
	const perNode = (milliseconds: number): string => `${(milliseconds / (fleet.seconds * 10)).toFixed(2)} %`;
	const summary = formatTable(['figure', 'value'], [
		['nodes, endpoints, requests/s, seconds', `${fleet.nodes}, ${fleet.endpoints}, ${fleet.requestsPerS}, ${fleet.seconds}`],
		['requests served', String(served)],
		['processor time to the end of the start, a node', `${(starts / fleet.nodes).toFixed(0)} ms`],
		['processor time after it, of a core: mean, median, busiest tenth', `${perNode(total / fleet.nodes)}, ${perNode(sorted[Math.floor(sorted.length / 2)] ?? 0)}, ${perNode(sorted[Math.floor(sorted.length * (1 - busiestShare))] ?? 0)}`],
		['…the fleet, in all', `${(total / 1000).toFixed(1)} s`],
		['wake-ups a second, a node', (ended.reduce((sum, {wakeUps}, index) => sum + wakeUps - (started[index]?.wakeUps ?? 0), 0) / fleet.nodes / fleet.seconds).toFixed(0)],
		['resident, private memory, a node', `${toMegabytes(ended.map(({residentBytes}) => residentBytes))}, ${toMegabytes(ended.map(({privateBytes}) => privateBytes))}`],
		['…a request', served === 0 ? '-' : `${(total / served).toFixed(2)} ms`],
	]);
	return sums === undefined ? summary : [summary, formatSums('package', sums.byPackage, shownPackages), formatSums('function', sums.byFunction, shownFunctions)].join('\n\n');
}

function toMegabytes(values: readonly number[]): string {
	return `${(values.reduce((sum, bytes) => sum + bytes, 0) / values.length / bytesPerMegabyte).toFixed(1)} MB`;
}

function formatSums(name: string, sums: ReadonlyMap<string, number>, most: number): string {
	const total = sums.values().reduce((sum, milliseconds) => sum + milliseconds, 0);
	const rows = [...sums].toSorted((a, b) => b[1] - a[1]).slice(0, most);
	return formatTable([name, 'own time', 'share'], rows.map(([key, milliseconds]) => [key, `${(milliseconds / 1000).toFixed(2)} s`, `${(100 * milliseconds / total).toFixed(1)} %`]));
}

/**
All are held until the last one is found, so that none comes twice.
*/
async function findFreeAddresses(count: number): Promise<readonly string[]> {
	const servers = Array.from({length: count}, () => createServer());
	const addresses = await Promise.all(servers.map(async server => startListening(server)));
	await Promise.all(servers.map(async server => {
		server.close();
		await once(server, 'close');
	}));
	return addresses;
}

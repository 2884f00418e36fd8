import {mkdtemp} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as wait} from 'node:timers/promises';
import {formatTable, readProcessUsage} from '@valvesaddle/bench-harness';
import {startNode, type SoakNode} from '@valvesaddle/bench-soak';
import {createFakeConfiguration, startFakeFleetStore} from '@valvesaddle/fake-fleet-store';
import {request} from 'undici';

/**
Sizes of fleets: two that are a full mesh, the others with relays.
*/
const sizes = [4, 8, 16, 32, 48, 64];
const settleMs = 10_000;
const measuredMs = 15_000;
/**
Part of the nodes that used most, among which relays are.
*/
const busiestShare = 0.1;

type Usage = {
	readonly cpuMs: number;
	readonly residentBytes: number;
	/**
	Bytes that the node sent to its peers.
	*/
	readonly bytes: number;
};

/**
 Measures what a fleet of gateways costs without any request: processor, bytes between nodes, calls on the store.

 @example
 await measureGateways(); // a table in Markdown
 */
export async function measureGateways(): Promise<string> {
	const rows: string[][] = [];
	for (const size of sizes) {
		// eslint-disable-next-line no-await-in-loop -- one fleet after the other
		rows.push(await measureSize(size));
	}

	return formatTable(['nodes', 'processor, median', 'the busiest tenth', 'bytes/s, median', 'the busiest tenth', 'calls on the store/s, all', 'of them renewals', 'memory, median'], rows);
}

async function measureSize(size: number): Promise<string[]> {
	const folder = await mkdtemp(path.join(tmpdir(), 'gateways-'));
	const store = await startFakeFleetStore();
	store.publish(createFakeConfiguration(1));
	const nodes = await Promise.all(Array.from({length: size}, async (_value, index) => startNode({name: `n${index}`, store: store.address, folder})));
	await wait(settleMs);
	const before = await Promise.all(nodes.map(async node => readUsage(node)));
	const callsBefore = new Map(store.calls());
	await wait(measuredMs);
	const after = await Promise.all(nodes.map(async node => readUsage(node)));
	const calls = countCalls(store.calls(), callsBefore);
	await Promise.all(nodes.map(async node => node.close()));
	await store.close();
	const seconds = measuredMs / 1000;
	const cpu = after.map(({cpuMs}, index) => (cpuMs - (before[index]?.cpuMs ?? 0)) / measuredMs * 100).toSorted((a, b) => a - b);
	const bytes = after.map((usage, index) => (usage.bytes - (before[index]?.bytes ?? 0)) / seconds / 1000).toSorted((a, b) => a - b);
	const memory = after.map(({residentBytes}) => residentBytes / 1e6).toSorted((a, b) => a - b);
	return [
		String(size),
		`${pickMedian(cpu).toFixed(2)} %`,
		`${pickBusiest(cpu).toFixed(2)} %`,
		`${pickMedian(bytes).toFixed(1)} KB`,
		`${pickBusiest(bytes).toFixed(1)} KB`,
		(calls.all / seconds).toFixed(1),
		(calls.renewals / seconds).toFixed(1),
		`${pickMedian(memory).toFixed(0)} MB`,
	];
}

async function readUsage(node: SoakNode): Promise<Usage> {
	const [usage, page] = await Promise.all([readProcessUsage(node.pid()), request(`http://${node.ready}/metrics`)]);
	const text = await page.body.text();
	return {...usage, bytes: Number(/^valvesaddle_peer_bytes_sent_total (?<bytes>\S+)$/mv.exec(text)?.groups?.bytes ?? 0)};
}

function countCalls(after: ReadonlyMap<string, number>, before: ReadonlyMap<string, number>): {readonly all: number; readonly renewals: number} {
	let all = 0;
	for (const [name, count] of after) {
		all += count - (before.get(name) ?? 0);
	}

	return {all, renewals: (after.get('kv-keep') ?? 0) - (before.get('kv-keep') ?? 0)};
}

function pickMedian(sorted: readonly number[]): number {
	return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

function pickBusiest(sorted: readonly number[]): number {
	return sorted[Math.floor(sorted.length * (1 - busiestShare))] ?? 0;
}

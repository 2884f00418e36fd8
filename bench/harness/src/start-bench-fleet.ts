import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {stringify} from 'smol-toml';
import {request} from 'undici';
import {hashKey} from '@valvesaddle/access';
import {fleetKeys} from '@valvesaddle/fake-fleet';
import {createOperatorClient} from '@valvesaddle/operator-client';
import type {Configuration, Vm} from '@valvesaddle/types';
import type {BenchFleet} from './bench-fleet.ts';
import type {BenchFleetOptions} from './bench-fleet-options.ts';
import type {BenchNode} from './bench-node.ts';
import type {StandInsAddresses} from './stand-ins-addresses.ts';
import {startProcess} from './start-process.ts';

const root = path.resolve(import.meta.dirname, '../../..');
/**
The binary, as it runs in production; `npm run build` makes it.
*/
const binary = path.join(root, 'dist/valvesaddle');
const standInsScript = path.join(import.meta.dirname, 'stand-ins-main.ts');
const startedAtOnce = 8;
const pollMs = 50;

/**
 Starts router nodes and stand-ins as processes of their own on free ports of the loopback.

 @example
 const fleet = await startBenchFleet({nodes: 3, engines: [{}, {}]});
 */
export async function startBenchFleet(options: BenchFleetOptions): Promise<BenchFleet> {
	const folder = await mkdtemp(path.join(tmpdir(), 'valvesaddle-bench-'));
	const standInsProcess = await startProcess(process.execPath, [standInsScript, JSON.stringify({engines: options.engines})]);
	const standIns = JSON.parse(standInsProcess.firstLine) as StandInsAddresses;
	const nodes: BenchNode[] = [];
	let revision = 0;

	async function startNode(id: string): Promise<BenchNode> {
		const file = path.join(folder, `${id}.toml`);
		await writeFile(file, stringify(createTables(id, standIns, options)));
		const started = await startProcess(binary, ['serve', '--settings', file]);
		const addresses = JSON.parse(started.firstLine) as Omit<BenchNode, 'id' | 'process'>;
		return {id, process: started, ...addresses};
	}

	async function writeNodes(): Promise<void> {
		const vms = nodes.map(({id, peers}): Vm => ({
			id, role: 'router', address: peers, dataCentre: 'dc-1', region: 'region-1', state: 'live',
		}));
		const response = await request(`${standIns.vmList}/v1/vms`, {method: 'PUT', body: JSON.stringify(vms)});
		await response.body.dump();
	}

	async function apply(configuration: Configuration): Promise<number> {
		const client = createOperatorClient({url: `http://${nodes[0]?.operators}`, token: fleetKeys.editor});
		const reply = await client.applyConfiguration({changeId: `change-${revision + 1}`, expectedRevision: revision, configuration: configuration as never});
		revision = reply.revision;
		return revision;
	}

	for (let from = 0; from < options.nodes; from += startedAtOnce) {
		const count = Math.min(startedAtOnce, options.nodes - from);
		// eslint-disable-next-line no-await-in-loop -- bounds how many start at once
		nodes.push(...await Promise.all(Array.from({length: count}, async (_, index) => startNode(`n${from + index + 1}`))));
	}

	await writeNodes();
	await waitForMembers(nodes);

	return {
		nodes,
		standIns,
		standInsProcess,
		apply,
		async close() {
			await Promise.all(nodes.map(async node => node.process.kill()));
			await standInsProcess.kill();
			await rm(folder, {recursive: true, force: true});
		},
	};
}

function createTables(id: string, standIns: StandInsAddresses, options: BenchFleetOptions): Record<string, unknown> {
	const tables: Readonly<Record<string, Readonly<Record<string, unknown>>>> = {
		node: {id, data_centre: 'dc-1', region: 'region-1'},
		listen: {callers: '127.0.0.1:0', peers: '127.0.0.1:0', operators: '127.0.0.1:0'},
		peer: {token: fleetKeys.peer},
		platform: {kv_urls: [standIns.kv], vm_list_url: `${standIns.vmList}/v1/vms`},
		observe: {log_level: 'silent', ...(options.statsd !== undefined && {statsd: options.statsd})},
	};
	const names = new Set([...Object.keys(tables), ...Object.keys(options.settings ?? {})]);
	const merged = Object.fromEntries([...names].map(name => [name, {...tables[name], ...options.settings?.[name]}]));
	return {...merged, operators: [{name: 'bench', role: 'editor', token_sha256: hashKey(fleetKeys.editor)}]};
}

async function waitForMembers(nodes: readonly BenchNode[]): Promise<void> {
	for (const node of nodes) {
		const client = createOperatorClient({url: `http://${node.operators}`, token: fleetKeys.editor});
		let known = 0;
		while (known < nodes.length) {
			// eslint-disable-next-line no-await-in-loop -- polls
			await delay(pollMs);
			// eslint-disable-next-line no-await-in-loop -- polls
			const {members} = await client.getStatus({});
			known = members.length;
		}
	}
}

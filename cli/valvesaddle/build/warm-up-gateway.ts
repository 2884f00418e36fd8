import {writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import path from 'node:path';
import {setTimeout as wait} from 'node:timers/promises';
import {formatStreamHead, startFakeEndpoint} from '@valvesaddle/fake-endpoint';
import {startFakeFleetStore} from '@valvesaddle/fake-fleet-store';
import {startListening} from '@valvesaddle/fake-http';
import {request} from 'undici';
import type {Chunk} from '../src/chunk.ts';

/**
Number of nodes, enough to exchange load updates; of requests; and of events of an answer.
*/
const nodes = 3;
const requests = 200;
const events = 8;
const addressesPerNode = 3;
/**
Timeout until all nodes serve, and the interval between two attempts, in milliseconds.
*/
const readyTimeoutMs = 20_000;
const attemptIntervalMs = 50;
const host = 'warm.example';
const route = {
	host, 'max-attempts': 2, public: true, 'timeout-ms': 12_000, 'target-latency-ms': 250, priority: 0,
};
const configuration = {
	version: 1,
	routes: [
		{
			...route, name: 'question', prefix: '/question/', kind: 'streaming', service: 'drafting', 'gap-aim-ms': 200, 'stream-resume': true,
		},
		{
			...route, name: 'lookup', prefix: '/lookup/', kind: 'safe', service: 'register',
		},
	],
	services: [{name: 'drafting', engine: {slots: 12, 'kv-capacity-tokens': 395_839}}, {name: 'register'}],
	tenants: [],
};

/**
 Runs gateway nodes and sends requests through them, so that startup and request path are compiled. The nodes run until the process
 exits.

 @throws When the nodes do not serve in time.
 @example
 await warmUpGateway(chunk, '/tmp/build');
 */
export async function warmUpGateway(chunk: Chunk, folder: string): Promise<void> {
	const store = await startFakeFleetStore();
	store.publish(configuration);
	const service = await startFakeEndpoint();
	store.registerEndpoint('e1', {
		pool: 'drafting', address: await startEngine(), slots: 12, state: 'ready',
	});
	store.registerEndpoint('s1', {
		pool: 'register', address: service.address, slots: 12, state: 'ready',
	});
	const addresses = await findAddresses();
	const callers = Array.from({length: nodes}, (_value, index) => startNode({
		chunk, settings: path.join(folder, `node-${index}.toml`), store: store.address, addresses: addresses.slice(index * addressesPerNode),
	}));
	await waitUntilServing(callers);
	for (let index = 0; index < requests; index++) {
		// eslint-disable-next-line no-await-in-loop -- sequential, round robin over the nodes
		await wasServed(callers, index);
	}
}

async function startEngine(): Promise<string> {
	const engine = await startFakeEndpoint();
	engine.setBehaviour((arrived, socket) => {
		socket.write(formatStreamHead(arrived));
		for (let id = 0; id < events; id++) {
			const text = `id: ${id}\ndata: x\n\n`;
			socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
		}

		socket.write('0\r\n\r\n');
	});
	return engine.address;
}

type NodeOptions = {
	readonly chunk: Chunk;
	readonly settings: string;
	readonly store: string;
	readonly addresses: readonly string[];
};

function startNode({chunk, settings, store, addresses}: NodeOptions): string {
	const [callers = '', ready = '', peers = ''] = addresses;
	writeFileSync(settings, `
		[node]
		name = "${path.basename(settings)}"
		data_centre = "a"
		region = "r"
		[listen]
		callers = "${callers}"
		ready = "${ready}"
		peers = "${peers}"
		[store]
		address = "${store}"
		[observe]
		log_level = "error"
	`);
	void chunk.run(['gateway', '--settings', settings]);
	return callers;
}

async function wasServed(callers: readonly string[], index: number): Promise<boolean> {
	try {
		const prefix = index % nodes === 0 ? 'lookup' : 'question';
		const {statusCode, body} = await request(`http://${callers[index % nodes]}/${prefix}/x`, {
			method: 'POST',
			body: 'x',
			headers: {
				host, 'x-attempt-id': `w${index}`, 'x-deadline-ms': '4000', 'x-token-counts': '900,40', 'x-prompt-prefix': `a:100,b${index % 5}:300,c${index}:500`,
			},
		});
		await body.text();
		return statusCode === 200;
	} catch {
		// The node is not listening yet.
		return false;
	}
}

async function waitUntilServing(callers: readonly string[]): Promise<void> {
	const deadlineAt = performance.now() + readyTimeoutMs;
	while (performance.now() < deadlineAt) {
		// eslint-disable-next-line no-await-in-loop -- attempts are sequential
		const served = await Promise.all(callers.map(async (_caller, index) => wasServed(callers, index)));
		if (served.every(Boolean)) {
			return;
		}

		// eslint-disable-next-line no-await-in-loop -- interval between two attempts
		await wait(attemptIntervalMs);
	}

	throw new Error(`not all of ${nodes} nodes served within ${readyTimeoutMs} ms`);
}

/**
Keeps all ports open until the last one is found, so that they are distinct.
*/
async function findAddresses(): Promise<readonly string[]> {
	const servers = Array.from({length: nodes * addressesPerNode}, () => createServer());
	const addresses = await Promise.all(servers.map(async server => startListening(server)));
	for (const server of servers) {
		server.close();
	}

	return addresses;
}

// A replica's process is killed while it sends streams that have no length. Exit code 1 if a client saw a cut stream as a complete one.
/* eslint-disable no-await-in-loop -- one step after the other */
import {fork} from 'node:child_process';
import {
	appendFileSync,
	mkdtempSync,
	readFileSync,
	rmSync,
	writeFileSync,
} from 'node:fs';
import {request} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {startGateway, wait, waitReady} from '../stand-ins/gateway.mjs';
import {startStore} from '../stand-ins/store.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const host = '127.0.0.1';
const events = 12;
const pauseMs = 60;
const streams = 32;
const replicas = 4;
const record = path.join(import.meta.dirname, 'record.txt');
const folder = mkdtempSync(path.join(tmpdir(), 'review-'));
const startedAt = performance.now();
const children = [];

writeFileSync(record, '');

function write(text) {
	appendFileSync(record, `${((performance.now() - startedAt) / 1000).toFixed(3)} s  ${text}\n`);
}

async function startReplicaProcess(id) {
	const child = fork(path.join(import.meta.dirname, '../stand-ins/stream-replica.mjs'), [host, events, pauseMs], {stdio: ['ignore', 'ignore', 'inherit', 'ipc']});
	children.push(child);
	const address = await new Promise(resolve => {
		child.on('message', message => {
			if (message.address) {
				resolve(message.address);
			} else {
				write(`replica ${id} runs request ${message.run}`);
				running.set(message.run, id);
			}
		});
	});
	return {id, child, address};
}

const running = new Map();

async function send(node, id) {
	const [nodeHost, port] = node.callers.split(':', 2);
	return new Promise(resolve => {
		let text = '';
		const call = request({
			host: nodeHost, port, method: 'POST', path: '/draft/x', agent: false,
			headers: {
				host: 'permits.example', authorization: 'Bearer key-of-sawmill', 'x-attempt-id': id, 'x-deadline-ms': '15000', 'x-model': 'm', 'x-token-counts': '200,120', 'x-prompt-prefix': `a1:100,${id}:100`, 'content-type': 'application/json', 'content-length': 2,
			},
		}, response => {
			response.setEncoding('utf8');
			response.on('data', piece => {
				text += piece;
			});
			response.on('error', () => {});
			response.on('close', () => {
				resolve({
					id, status: response.statusCode, seal: response.headers['x-response-seal'], framing: response.headers['transfer-encoding'] ?? response.headers['content-length'], isComplete: response.complete, text,
				});
			});
		});
		call.on('error', error => {
			resolve({
				id, status: 0, isComplete: false, text, error: error.message,
			});
		});
		write(`client sends request ${id} to ${node.name}`);
		call.end('{}');
	});
}

function isWhole({id, text}) {
	const parts = Array.from({length: events}, (_, event) => `id: ${event}\ndata: tokens of event ${event} of ${id}\n\n`);
	return text === parts.join('');
}

async function run() {
	const store = await startStore({host});
	const nodes = [];
	try {
		const services = [];
		for (let index = 0; index < replicas; index++) {
			services.push(await startReplicaProcess(`i-${index}`));
		}

		let sequence = 0;
		const beat = () => {
			sequence++;
			for (const {id, address, child} of services) {
				if (child.exitCode === null && child.signalCode === null) {
					store.put(`servers/${id}`, {
						service: 'drafting', address, zone: 'hams-hall', version: '1', slots: 64, state: 'ready', 'cold-remaining-ms': 0, sequence,
					});
				}
			}
		};

		beat();
		const beats = setInterval(beat, 1200);
		store.put('op/config', {
			version: 3,
			routes: [{
				name: 'draft', host: 'permits.example', prefix: '/draft/', kind: 'streaming', 'timeout-ms': 15_000, 'target-latency-ms': 2000, priority: 2, service: 'drafting', 'max-attempts': 1, public: false, 'stream-resume': false, 'gap-aim-ms': 500,
			}],
			services: [{name: 'drafting', engine: {slots: 64, 'kv-capacity-tokens': 638_949}}],
			limits: {
				'max-header-bytes': 16_384, 'max-body-bytes': 4_194_304, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15_000,
			},
			tenants: [{name: 'sawmill', 'api-keys': ['key-of-sawmill']}],
		});
		for (const index of [1, 2]) {
			nodes.push(await startGateway({
				name: `front-hams-hall-${index}`, host, store: store.address, folder,
			}));
		}

		for (const node of nodes) {
			if (!await waitReady(node)) {
				write(`${node.name} is not ready: ${JSON.stringify(node.exit)} ${readFileSync(path.join(folder, `${node.name}.log`), 'utf8').slice(0, 3000)}`);
				return 2;
			}
		}

		await wait(1500);
		const answers = Array.from({length: streams}, (_, index) => send(nodes[index % nodes.length], `r${String(index).padStart(3, '0')}`));
		await wait(pauseMs * events);
		if (hasTrouble) {
			let killed = '-';
			const counts = Map.groupBy(running.values(), id => id);
			const victim = services.toSorted((a, b) => (counts.get(b.id)?.length ?? 0) - (counts.get(a.id)?.length ?? 0))[0];
			killed = victim.id;
			write(`SIGKILL to the process of replica ${killed}`);
			victim.child.kill('SIGKILL');
		}

		let broken = 0;
		let cut = 0;
		let whole = 0;
		for (const answer of await Promise.all(answers)) {
			const {id, status, seal, framing, isComplete, text, error} = answer;
			const last = text.slice(text.lastIndexOf('id: '));
			write(`client got for ${id}: status ${status}, seal ${seal}, framing ${framing}, ${isComplete ? 'a complete answer' : `a broken answer (${error ?? 'channel closed'})`}, ${text.length} bytes, ${isWhole(answer) ? 'all events' : `not all events, ends with ${JSON.stringify(last)}`}, run by ${running.get(id)}`);
			const isEndsWithinEvent = text !== '' && !text.endsWith('\n\n');
			whole += status === 200 && isComplete && isWhole(answer) ? 1 : 0;
			cut += isComplete ? 0 : 1;
			// Only ends within an event are counted, which a router can see.
			broken += status === 200 && isComplete && isEndsWithinEvent ? 1 : 0;
		}

		clearInterval(beats);
		write(`${streams} streams: ${whole} whole, ${cut} seen as broken, ${broken} that end within an event and look complete`);
		if (!hasTrouble && whole < streams) {
			return 2;
		}

		return broken > 0 ? 1 : 0;
	} finally {
		for (const {child} of nodes) {
			child.kill('SIGKILL');
		}

		for (const child of children) {
			child.kill('SIGKILL');
		}

		store.close();
	}
}

const code = await run().catch(error => {
	write(`the case could not run: ${error.stack}`);
	return 2;
});
write(`exit code ${code}`);
rmSync(folder, {recursive: true, force: true});
// eslint-disable-next-line unicorn/no-process-exit -- a command
process.exit(code);

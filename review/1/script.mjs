// Two answers of one faulty replica have bodies without end, a token a chunk. Exit code 1 if a machine is killed for its memory and requests
// of other callers, which it had passed on to sound replicas, are lost with it.
/* eslint-disable no-await-in-loop -- one step after the other */
import {fork} from 'node:child_process';
import {
	appendFileSync,
	mkdtempSync,
	readFileSync,
	rmSync,
	writeFileSync,
} from 'node:fs';
import {Agent, request} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {
	startGateway,
	startProcess,
	wait,
	waitReady,
} from '../stand-ins/gateway.mjs';
import {formatHead, startReplica} from '../stand-ins/replica.mjs';
import {startStore} from '../stand-ins/store.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const host = '127.0.0.1';
// The machine's memory by its settings (`memory-mb` 350), read in the larger way.
const memoryBytes = 350 * 1024 * 1024;
const restartMs = 500;
const clients = 64;
// A replica's work on a request: this long, and up to as long again.
const workMs = 500;
const runMs = 15_000;
const allowedLost = 3;
const record = path.join(import.meta.dirname, 'record.txt');
const folder = mkdtempSync(path.join(tmpdir(), 'review-'));
const startedAt = performance.now();

writeFileSync(record, '');

function write(text) {
	appendFileSync(record, `${((performance.now() - startedAt) / 1000).toFixed(3)} s  ${text}\n`);
}

// Memory of a process that no other process shares; pages of its program file don't count.
function readMemory(pid) {
	try {
		const status = readFileSync(`/proc/${pid}/status`, 'utf8');
		return Number(/^RssAnon:\s+(?<kb>\d+)/mv.exec(status)?.groups.kb ?? 0) * 1024;
	} catch {
		return 0;
	}
}

// The platform's part: a process that exceeds its memory is killed, and started again after a short delay.
function watchMemory(node, kills, peaks) {
	return setInterval(() => {
		const bytes = readMemory(node.child.pid);
		peaks.set(node.name, Math.max(bytes, peaks.get(node.name) ?? 0));
		if (bytes <= memoryBytes || node.exit !== undefined || node.isKilled) {
			return;
		}

		node.isKilled = true;
		write(`platform: ${node.name} holds ${Math.round(bytes / 1e6)} MB, more than its memory: it is killed`);
		kills.push(node.name);
		node.child.kill('SIGKILL');
		setTimeout(() => {
			startProcess(node);
			node.isKilled = false;
			write(`platform: ${node.name} starts again`);
		}, restartMs);
	}, 20);
}

let sent = 0;

async function send(node, agent, target) {
	const [nodeHost, port] = node.callers.split(':', 2);
	sent++;
	const id = `r${String(sent).padStart(5, '0')}`;
	return new Promise(resolve => {
		let text = '';
		let isKept = false;
		const call = request({
			host: nodeHost, port, method: 'POST', path: target, agent, headers: {
				host: 'depot.example', authorization: 'Bearer key-1', 'x-attempt-id': id, 'x-deadline-ms': '15000', 'content-length': 2,
			},
		}, response => {
			response.setEncoding('utf8');
			response.on('data', piece => {
				text += text.length > 100 ? '' : piece;
			});
			response.on('error', () => {});
			response.on('close', () => {
				resolve({
					id, isKept, status: response.statusCode, isComplete: response.complete, text,
				});
			});
		});
		call.on('socket', () => {
			isKept = call.reusedSocket;
		});
		call.on('error', error => {
			resolve({
				id, isKept, status: 0, isComplete: false, text: error.message,
			});
		});
		call.end('{}');
	});
}

async function startFaulty(stops) {
	const child = fork(path.join(import.meta.dirname, '../stand-ins/endless-replica.mjs'), [host], {stdio: ['ignore', 'ignore', 'inherit', 'ipc']});
	stops.push(() => {
		child.kill('SIGKILL');
	});
	return new Promise(resolve => {
		child.on('message', message => {
			if (message.address) {
				resolve(message.address);
			} else if (message.run) {
				write(`replica i-1 runs request ${message.run}`);
			} else {
				write(`the channel of request ${message.closed} at replica i-1 is closed after ${message.bytes} bytes`);
			}
		});
	});
}

async function run(stops) {
	const store = await startStore({host});
	stops.push(() => {
		store.close();
	});
	const passedOn = new Map();
	const services = [{id: 'i-1', service: 'reports', address: await startFaulty(stops)}];
	for (const index of [2, 3, 4]) {
		const id = `i-${index}`;
		const replica = await startReplica({
			host,
			handle(call, socket) {
				passedOn.set(call.id, id);
				setTimeout(() => {
					socket.write(`${formatHead('200 OK', call, {'x-response-seal': `seal-of-${call.id}`, 'content-length': 2})}ok`);
				}, workMs * (1 + Math.random()));
			},
		});
		stops.push(replica.close);
		services.push({id, service: 'desk', address: replica.address});
	}

	let sequence = 0;
	const beat = () => {
		sequence++;
		for (const {id, service, address} of services) {
			store.put(`servers/${id}`, {
				service, address, zone: 'hams-hall', version: '1', slots: 128, state: 'ready', 'cold-remaining-ms': 0, sequence,
			});
		}
	};

	beat();
	const beats = setInterval(beat, 1200);
	stops.push(() => {
		clearInterval(beats);
	});
	const route = {
		host: 'depot.example', kind: 'unsafe', 'timeout-ms': 15_000, 'target-latency-ms': 2000, priority: 2, 'max-attempts': 1, public: false,
	};
	store.put('op/config', {
		version: 3,
		routes: [{
			...route, name: 'reports', prefix: '/report/', service: 'reports',
		}, {
			...route, name: 'gate', prefix: '/gate/', service: 'desk',
		}],
		services: [{name: 'reports'}, {name: 'desk'}],
		limits: {
			'max-header-bytes': 16_384, 'max-body-bytes': 4_194_304, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15_000,
		},
		tenants: [{name: 'lessor', 'api-keys': ['key-1']}],
	});
	const nodes = [];
	const kills = [];
	const peaks = new Map();
	for (const index of [1, 2]) {
		const node = await startGateway({
			name: `front-hams-hall-${index}`, host: `127.0.0.${10 + index}`, store: store.address, folder,
		});
		nodes.push(node);
		stops.push(() => {
			node.child.kill('SIGKILL');
		});
	}

	for (const node of nodes) {
		if (!await waitReady(node)) {
			write(`${node.name} is not ready`);
			return 2;
		}

		const watch = watchMemory(node, kills, peaks);
		stops.unshift(() => {
			clearInterval(watch);
		});
	}

	await wait(3000);
	const [faced] = nodes;
	const endsAt = performance.now() + runMs;
	let served = 0;
	const lost = [];
	const callers = Array.from({length: clients}, async (_, index) => {
		const node = nodes[index % nodes.length];
		const agent = new Agent({keepAlive: true, maxSockets: 1});
		// Callers are not in step.
		await wait(Math.random() * workMs);
		while (performance.now() < endsAt) {
			const answer = await send(node, agent, '/gate/x');
			served += answer.status === 200 && answer.isComplete ? 1 : 0;
			const replica = passedOn.get(answer.id);
			if (replica !== undefined && answer.status === 0) {
				lost.push(answer);
				write(`LOST: ${answer.id}, sent to ${node.name} on a ${answer.isKept ? 'kept' : 'new'} channel, passed on to sound replica ${replica}, channel closed without an answer (${answer.text})`);
			}

			await wait(answer.status === 200 ? 20 : 200);
		}

		agent.destroy();
	});
	await wait(5000);
	write(`${served} requests served so far, ${lost.length} lost; ${faced.name} holds ${Math.round(readMemory(faced.child.pid) / 1e6)} MB`);
	write(`two callers send a request each to the service of replica i-1, which ${hasTrouble ? 'answers with bodies without end' : 'is sound'}`);
	const faulty = await Promise.all(Array.from({length: 2}, async () => send(faced, new Agent({keepAlive: false}), hasTrouble ? '/report/x' : '/report/well')));
	for (const {id, status, isComplete, text} of faulty) {
		write(`the caller of ${id} gets status ${status}, ${isComplete ? 'a complete answer' : 'a broken answer'}, ${JSON.stringify(text.slice(0, 80))}`);
	}

	await Promise.all(callers);
	for (const [name, bytes] of peaks) {
		write(`${name}: ${Math.round(bytes / 1e6)} MB at most, of ${Math.round(memoryBytes / 1e6)} MB`);
	}

	const lostOnKept = lost.filter(({isKept}) => isKept).length;
	write(`${served} requests served, ${lost.length} lost, ${lostOnKept} of them on kept channels (${allowedLost} are allowed); processes killed for their memory: ${kills.join(', ') || 'none'}`);
	if (!hasTrouble && served < clients) {
		return 2;
	}

	return lostOnKept > allowedLost ? 1 : 0;
}

const stops = [];
const code = await run(stops).catch(error => {
	write(`the case could not run: ${error.stack}`);
	return 2;
});
for (const stop of stops) {
	stop();
}

write(`exit code ${code}`);
rmSync(folder, {recursive: true, force: true});
// eslint-disable-next-line unicorn/no-process-exit -- a command
process.exit(code);

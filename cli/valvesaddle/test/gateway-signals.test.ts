// Guards against a gateway process that a signal ends at once, with the requests that it has accepted.
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {rm} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {test, type Test} from 'tap';
import {request} from 'undici';
import {behaviours, startFakeEndpoint} from '@valvesaddle/fake-endpoint';
import {waitUntil} from '@valvesaddle/fake-fleet';
import {startFakeFleetStore} from '@valvesaddle/fake-fleet-store';

const source = path.resolve(import.meta.dirname, '../src');
const route = {
	name: 'unsafe', host: 'permits.example', prefix: '/unsafe/', kind: 'unsafe', 'timeout-ms': 60_000, 'target-latency-ms': 50_000, priority: 1, service: 'register', 'max-attempts': 1, public: true,
};

function formatSettings(storeAddress: string): string {
	return `
		[node]
		name = "n1"
		data_centre = "a"
		region = "r"
		[listen]
		callers = "127.0.0.1:0"
		ready = "127.0.0.1:0"
		peers = "127.0.0.1:0"
		[store]
		address = "${storeAddress}"
		[drain]
		grace_s = 60
		balancer_ms = 1
	`;
}

/**
Starts Node.js without the test runner's hooks in the environment, which handle signals themselves.
*/
function startNode(parameters: readonly string[]) {
	return spawn('env', ['-i', process.execPath, ...parameters], {stdio: ['ignore', 'pipe', 'inherit']});
}

/**
Starts a process of a gateway with one endpoint, and waits until it passes requests on.
*/
async function startProcess(t: Test) {
	const store = await startFakeFleetStore();
	const endpoint = await startFakeEndpoint();
	endpoint.setBehaviour(behaviours.whole);
	store.registerEndpoint('i-0', {
		pool: 'register', address: endpoint.address, slots: 4, state: 'ready',
	});
	store.publish({
		version: 1, routes: [route], services: [{name: 'register'}], limits: {}, tenants: [],
	});
	const folder = t.testdir({'gateway.toml': formatSettings(store.address)});
	const file = path.join(folder, 'gateway.toml');
	const child = startNode([path.join(source, 'main.ts'), 'gateway', '--settings', file]);
	const lines: string[] = [];
	createInterface(child.stdout).on('line', line => {
		lines.push(line);
	});
	t.teardown(async () => {
		child.kill('SIGKILL');
		await endpoint.close();
		await store.close();
	});
	await waitUntil(() => lines.some(line => line.includes('"listening"')));
	const {address} = JSON.parse(lines.find(line => line.includes('"listening"'))!) as {readonly address: string};

	async function call() {
		const {statusCode, body} = await request(`http://${address}/unsafe/x`, {headers: {host: 'permits.example', 'x-attempt-id': 'a1'}});
		return {status: statusCode, text: await body.text()};
	}

	return {
		child, endpoint, lines, file, call,
	};
}

async function waitForExit(child: ReturnType<typeof spawn>): Promise<readonly unknown[]> {
	return child.exitCode === null && child.signalCode === null ? once(child, 'exit') : [child.exitCode, child.signalCode];
}

test('a repeated SIGTERM does not cut off requests that are open', async t => {
	const {child, endpoint, lines, call} = await startProcess(t);
	await waitUntil(async () => (await call()).status === 200);
	endpoint.setBehaviour(behaviours.silent);
	const before = endpoint.arrived().length;
	const answer = call().catch(() => undefined);
	await waitUntil(() => endpoint.arrived().length > before);
	child.kill('SIGTERM');
	await waitUntil(() => lines.some(line => line.includes('"leaving"')));
	child.kill('SIGTERM');
	child.kill('SIGHUP');
	await waitUntil(() => lines.some(line => line.includes('"settings-read"')) || child.exitCode !== null);
	endpoint.answerOpen('whole');
	t.match(await answer, {status: 200});
	t.same(await waitForExit(child), [0, null]);
});

test('SIGHUP with a settings file that cannot be read leaves open requests alone', async t => {
	const {child, endpoint, lines, file, call} = await startProcess(t);
	await waitUntil(async () => (await call()).status === 200);
	endpoint.setBehaviour(behaviours.silent);
	const before = endpoint.arrived().length;
	const answer = call().catch(() => undefined);
	await waitUntil(() => endpoint.arrived().length > before);
	await rm(file);
	child.kill('SIGHUP');
	await waitUntil(() => lines.some(line => line.includes('"settings-read"')) || child.exitCode !== null);
	t.match(lines.find(line => line.includes('"settings-read"')), /"isAccepted":false/v);
	endpoint.answerOpen('whole');
	t.match(await answer, {status: 200});
});

test('SIGTERM during the start drains the node instead of ending the process at once', async t => {
	const folder = t.testdir({'gateway.toml': formatSettings('127.0.0.1:1')});
	const script = `
		import {runGateway} from ${JSON.stringify(path.join(source, 'run-gateway.ts'))};
		const run = runGateway(${JSON.stringify(path.join(folder, 'gateway.toml'))});
		process.kill(process.pid, 'SIGTERM');
		process.exit(await run);
	`;
	const child = startNode(['--input-type=module', '--eval', script]);
	child.stdout.resume();
	t.teardown(() => {
		child.kill('SIGKILL');
	});
	t.same(await waitForExit(child), [0, null]);
});

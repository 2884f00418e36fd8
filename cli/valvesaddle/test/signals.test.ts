/*
Guards against signals that end a node with its requests open.
*/
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import type {ServerResponse} from 'node:http';
import path from 'node:path';
import process from 'node:process';
import {test, type Test} from 'tap';
import {request} from 'undici';
import {waitUntil} from '@valvesaddle/fake-fleet';
import {startFakeServer} from '@valvesaddle/fake-http';
import {startFakeKv} from '@valvesaddle/fake-kv';

const main = path.join(import.meta.dirname, '../src/main.ts');

const fixedSettings = [
	'[node]',
	'id = "a1"',
	'data_centre = "d"',
	'region = "r"',
	'[listen]',
	'callers = "127.0.0.1:0"',
	'peers = "127.0.0.1:0"',
	'operators = "127.0.0.1:0"',
	'[peer]',
	'token = "0123456789abcdef"',
	'[drain]',
	'grace_ms = 1000',
	'[platform]',
];

type Node = {
	readonly child: ChildProcess;
	readonly exitCode: Promise<unknown>;
	/**
	Waits for the address that the node prints.
	*/
	readonly callers: () => Promise<string>;
};

/**
Starts `valvesaddle serve` with a key-value service and the given settings.
*/
async function startNode(t: Test, settings: readonly string[] = []): Promise<Node> {
	const kv = await startFakeKv();
	const folder = t.testdir({
		'node.toml': [...fixedSettings, `kv_urls = ["${kv.url}"]`, ...settings].join('\n'),
	});
	const child = spawn(process.execPath, [main, 'serve', '--settings', path.join(folder, 'node.toml')], {
		// The test runner's own handlers of signals are left out.
		env: {...process.env, NODE_OPTIONS: ''}, stdio: ['ignore', 'pipe', 'ignore'],
	});
	let output = '';
	child.stdout.on('data', data => {
		output += String(data);
	});
	const exit = once(child, 'exit');
	t.teardown(async () => {
		child.kill('SIGKILL');
		await kv.close();
	});
	return {
		child,
		exitCode: exit.then(([code]: unknown[]) => code),
		async callers() {
			await waitUntil(() => output.includes('\n'));
			return (JSON.parse(output) as {readonly callers: string}).callers;
		},
	};
}

/**
Creates a function that reads the status by which balancers know the state of a node.
*/
async function createStateReader(callers: Node['callers']): Promise<() => Promise<number>> {
	const url = `http://${await callers()}/readyz`;
	return async () => {
		const {statusCode, body} = await request(url);
		await body.dump();
		return statusCode;
	};
}

test('a second SIGTERM does not end a node that leaves', async t => {
	const {child, exitCode, callers} = await startNode(t);
	const readState = await createStateReader(callers);
	await waitUntil(async () => await readState() === 200);
	child.kill('SIGTERM');
	await waitUntil(async () => await readState() === 503);
	child.kill('SIGTERM');
	t.equal(await exitCode, 0);
});

test('a SIGINT ends a node that leaves at once', async t => {
	const {child, exitCode, callers} = await startNode(t);
	const readState = await createStateReader(callers);
	await waitUntil(async () => await readState() === 200);
	child.kill('SIGTERM');
	await waitUntil(async () => await readState() === 503);
	child.kill('SIGINT');
	t.equal(await exitCode, 1);
});

test('a node that gets SIGTERM while it starts leaves in order', async t => {
	const waiting: ServerResponse[] = [];
	const vmList = await startFakeServer({
		handle(_request, response) {
			waiting.push(response);
		},
	});
	t.teardown(vmList.close);
	const {child, exitCode} = await startNode(t, ['kv_timeout_ms = 60000', `vm_list_url = "${vmList.url}/v1/vms"`]);
	await waitUntil(() => waiting.length > 0);
	child.kill('SIGTERM');
	for (const response of waiting) {
		response.end('[]');
	}

	t.equal(await exitCode, 0);
});

// Starts the project's gateway as the deploy file says, with settings as its template gives them for a small deployment.
/* eslint-disable no-await-in-loop -- one step after the other */
import process from 'node:process';
import {spawn} from 'node:child_process';
import {createWriteStream, writeFileSync} from 'node:fs';
import {request} from 'node:http';
import {createServer} from 'node:net';
import path from 'node:path';

const root = path.resolve(import.meta.dirname, '../..');

export const wait = milliseconds => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

async function findPort(host) {
	const server = createServer();
	await new Promise(resolve => {
		server.listen(0, host, resolve);
	});
	const {port} = server.address();
	await new Promise(resolve => {
		server.close(resolve);
	});
	return port;
}

function formatSettings({name, zone, callers, ready, peers, metrics, store, more}) {
	return `
[node]
name = "${name}"
data_centre = "${zone}"
region = "midlands"
cpu_share = 0.675
core_speed = 1
link_mbps = 1000.0

[listen]
callers = "${callers}"
ready = "${ready}"
peers = "${peers}"
metrics = "${metrics}"

[store]
address = "${store}"

[retry]
ratio = 0.2
slack = 56
window_s = 10

[selection]
reserved_share = 0.4
reread_by_rate = true
memory_room = true
shared_evidence = true
plain_pace = true
reuse_s = 10

[sharing]
enabled = true

[drain]
grace_s = 8
[buffers]
memory_mb = 350
${more}
`;
}

export async function askReady(address) {
	return new Promise(resolve => {
		const [host, port] = address.split(':', 2);
		const call = request({
			host, port, path: '/valvesaddle/ready', agent: false, timeout: 1000,
		}, response => {
			response.resume();
			resolve(response.statusCode === 200);
		});
		call.on('error', () => {
			resolve(false);
		});
		call.on('timeout', () => {
			call.destroy();
		});
		call.end();
	});
}

// Starts the process of a node, also again after it was killed.
export function startProcess(node) {
	const log = createWriteStream(node.log, {flags: 'a'});
	const child = spawn(path.join(root, 'target/valvesaddle'), ['gateway'], {cwd: root, env: {PATH: process.env.PATH, VALVESADDLE_SETTINGS: node.file}, stdio: ['ignore', 'pipe', 'pipe']});
	child.stdout.pipe(log);
	child.stderr.pipe(log);
	node.child = child;
	node.exit = undefined;
	child.once('exit', (code, signal) => {
		if (node.child === child) {
			node.exit = {code, signal};
		}
	});
}

// Starts a node. `host` is its loopback address.
export async function startGateway({name, host, zone = 'hams-hall', store, folder, more = ''}) {
	const addresses = {};
	for (const key of ['callers', 'ready', 'peers', 'metrics']) {
		addresses[key] = `${host}:${await findPort(host)}`;
	}

	const file = path.join(folder, `${name}.toml`);
	writeFileSync(file, formatSettings({
		name, zone, ...addresses, store, more,
	}));
	const node = {
		name, file, log: path.join(folder, `${name}.log`), ...addresses,
	};
	startProcess(node);
	return node;
}

export async function waitReady(node, milliseconds = 10_000) {
	const until = performance.now() + milliseconds;
	while (performance.now() < until) {
		if (await askReady(node.ready)) {
			return true;
		}

		await wait(50);
	}

	return false;
}

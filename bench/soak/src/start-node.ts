import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {createWriteStream} from 'node:fs';
import {writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {findFreeAddress} from '@valvesaddle/fake-http';
import {request} from 'undici';
import type {RetrySettings} from './retry-settings.ts';
import type {SoakNode} from './soak-node.ts';
import {startLink} from './start-link.ts';
import {startThinLink} from './start-thin-link.ts';

type NodeOptions = {
	readonly name: string;
	readonly store: string;
	/**
	Folder for its settings and logs.
	*/
	readonly folder: string;
	readonly retry?: RetrySettings;
};

const program = path.resolve(import.meta.dirname, '../../../cli/valvesaddle/src/main.ts');
const askMs = 500;
/**
Loopback address of the nodes, whose ports the soak's own servers cannot take.
*/
const nodeHost = '127.0.1.1';
const plentifulRetries: RetrySettings = {
	ratio: 0.1, slack: 1000, assumedNodes: 8, windowS: 0.1,
};

/**
 Starts a gateway node as a process. Whatever ends the process, it is started again, as a platform does.

 @example
 const node = await startNode({name: 'n0', store: '127.0.0.1:8223', folder, retry});
 node.signal('SIGTERM');
 */
export async function startNode({name, store, folder, retry = plentifulRetries}: NodeOptions): Promise<SoakNode> {
	const link = await startLink(store);
	const [callers, ready, peers] = await Promise.all([findFreeAddress(nodeHost), findFreeAddress(nodeHost), findFreeAddress(nodeHost)]);
	const thinLink = await startThinLink(callers);
	const file = path.join(folder, `${name}.toml`);
	await writeFile(file, `
		[node]
		name = "${name}"
		data_centre = "a"
		region = "r"
		[listen]
		callers = "${callers}"
		ready = "${ready}"
		peers = "${peers}"
		[store]
		address = "${link.address}"
		[retry]
		ratio = ${retry.ratio}
		slack = ${retry.slack}
		assumed_nodes = ${retry.assumedNodes}
		window_s = ${retry.windowS}
		[selection]
		reserved_share = 0.4
		memory_room = true
		shared_evidence = true
		plain_pace = true
		[sharing]
		enabled = true
		window_s = 1
		[buffers]
		memory_mb = 256
		[drain]
		grace_s = 8
		balancer_ms = 500
	`);
	const log = createWriteStream(path.join(folder, `${name}.log`), {flags: 'a'});
	let child: ChildProcess;
	let isClosed = false;

	function startProgram(): void {
		child = spawn(process.execPath, [program, 'gateway', '--settings', file], {stdio: ['ignore', 'pipe', 'pipe']});
		child.stdout?.pipe(log, {end: false});
		child.stderr?.pipe(log, {end: false});
		child.once('exit', () => {
			if (!isClosed) {
				startProgram();
			}
		});
	}

	startProgram();

	return {
		name,
		callers,
		ready,
		link,
		thinLink,
		pid: () => child.pid ?? 0,
		async isReady() {
			try {
				const {statusCode, body} = await request(`http://${ready}/valvesaddle/ready`, {headersTimeout: askMs, signal: AbortSignal.timeout(askMs)});
				await body.dump();
				return statusCode === 200;
			} catch {
				// A process that is down or stands still is not ready.
				return false;
			}
		},
		signal(signal) {
			child.kill(signal);
		},
		async close() {
			isClosed = true;
			link.close();
			thinLink.close();
			if (child.exitCode === null && child.signalCode === null) {
				const gone = once(child, 'exit');
				child.kill('SIGKILL');
				await gone;
			}

			log.end();
		},
	};
}

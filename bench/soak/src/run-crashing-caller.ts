import {setTimeout as wait} from 'node:timers/promises';
import {request} from 'undici';
import type {Attempt} from './attempt.ts';
import {crashingPath} from './crashing-path.ts';
import type {SoakNode} from './soak-node.ts';

type CrashingCallerOptions = {
	readonly random: () => number;
	readonly now: () => number;
	readonly listReady: () => readonly SoakNode[];
	readonly isOver: () => boolean;
	readonly onAttempt: (attempt: Attempt) => void;
};

const intervalMs = 200;
const patienceMs = 6000;

/**
 Sends the same request to one node after the other until the run is over; each endpoint that runs it ends.

 @example
 await runCrashingCaller({random, now, listReady, isOver, onAttempt});
 */
export async function runCrashingCaller({random, now, listReady, isOver, onAttempt}: CrashingCallerOptions): Promise<void> {
	let count = 0;
	const open: Array<Promise<void>> = [];

	async function sendTo(node: SoakNode): Promise<void> {
		const sent = {
			id: `crash-${++count}`, path: crashingPath, kind: 'unsafe' as const, node: node.name, pid: node.pid(), sentAt: now(),
		};
		let status = 0;
		let body = '';
		let error = '';
		try {
			const response = await request(`http://${node.callers}${crashingPath}`, {
				headers: {host: 'permits.example', authorization: 'Bearer key', 'x-attempt-id': sent.id}, headersTimeout: patienceMs, bodyTimeout: patienceMs,
			});
			status = response.statusCode;
			body = await response.body.text();
		} catch (error_) {
			error = String(error_);
		}

		onAttempt({
			...sent, endedAt: now(), status, isWhole: error === '', body, length: body.length, error,
		});
	}

	while (!isOver()) {
		const nodes = listReady();
		const node = nodes[Math.floor(random() * nodes.length)];
		if (node !== undefined) {
			open.push(sendTo(node));
		}

		// eslint-disable-next-line no-await-in-loop -- the caller's pause
		await wait(intervalMs);
	}

	await Promise.all(open);
}

import {setTimeout as wait} from 'node:timers/promises';
import type {Socket} from 'node:net';
import {startFakeEndpoint, type ArrivedRequest} from '@valvesaddle/fake-endpoint';
import type {FaultKind} from './fault-kind.ts';
import type {Run} from './run.ts';
import type {SoakEndpoint} from './soak-endpoint.ts';

type EndpointOptions = {
	readonly id: string;
	readonly random: () => number;
	/**
	Milliseconds since the start of the run.
	*/
	readonly now: () => number;
	readonly onRun: (run: Run) => void;
};

/**
Events of a stream, the pause between them, and the longest work of a plain request, in milliseconds.
*/
const events = 8;
const pauseMs = 15;
const longestWorkMs = 60;
/**
Part of the requests that a fault strikes.
*/
const struckShare = 0.4;

function formatHead(status: string, id: string, rows: readonly string[]): string {
	return [`HTTP/1.1 ${status}`, `x-attempt-id: ${id}`, ...rows, '', ''].join('\r\n');
}

function formatChunk(text: string): string {
	return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/**
 Starts an endpoint for the soak: it runs requests, tells of each run, and misbehaves as it is told.

 @example
 const endpoint = await startSoakEndpoint({id: 'e1', random, now, onRun});
 endpoint.setFault('break');
 */
export async function startSoakEndpoint({id: endpoint, random, now, onRun}: EndpointOptions): Promise<SoakEndpoint> {
	const fake = await startFakeEndpoint();
	let fault: FaultKind | undefined;

	function answerPlain(socket: Socket, id: string, isSpoiled: boolean): void {
		const body = `for ${id}\n`;
		const rows = ['x-response-seal: seal', `content-length: ${body.length}`];
		// A spoiled answer is followed by one that nobody asked for.
		socket.write(formatHead('200 OK', id, rows) + body + (isSpoiled ? `${formatHead('200 OK', 'nobody', rows)}${body}` : ''));
	}

	async function answerStream(socket: Socket, request: ArrivedRequest, id: string, isSpoiled: boolean): Promise<void> {
		const from = Number(request.headers.get('last-event-id') ?? -1) + 1;
		const isBroken = isSpoiled && random() < 0.7;
		socket.write(formatHead('200 OK', id, ['x-response-seal: seal', 'content-type: text/event-stream', 'transfer-encoding: chunked']));
		for (let event = from; event < events; event++) {
			if (isBroken && event > from + 2) {
				socket.write(formatChunk(`id: ${event}\nda`), () => {
					socket.resetAndDestroy();
				});
				return;
			}

			socket.write(formatChunk(`id: ${event}\ndata: for ${id}\n\n`));
			// eslint-disable-next-line no-await-in-loop -- one event after the other
			await wait(pauseMs);
		}

		socket.write('0\r\n\r\n');
	}

	async function runRequest(request: ArrivedRequest, socket: Socket): Promise<void> {
		const id = request.headers.get('x-attempt-id') ?? '';
		const isStruck = fault !== undefined && random() < struckShare;
		if (isStruck && fault === 'refuse') {
			socket.write(formatHead('503 Service Unavailable', id, ['x-not-executed: 1', 'content-length: 0']));
			return;
		}

		const isSpoiled = isStruck && (fault === 'break' || fault === 'spoil');
		onRun({
			id, endpoint, at: now(), isSpoiled,
		});
		if (request.line.includes('/stream/') || request.line.includes('/resumable/')) {
			await answerStream(socket, request, id, isSpoiled);
			return;
		}

		await wait(random() * longestWorkMs);
		if (isSpoiled && fault === 'break') {
			socket.resetAndDestroy();
		} else {
			answerPlain(socket, id, isSpoiled);
		}
	}

	fake.setBehaviour((request, socket) => {
		void runRequest(request, socket);
	});

	return {
		id: endpoint,
		address: fake.address,
		setFault(kind) {
			fault = kind;
		},
		close: fake.close,
	};
}

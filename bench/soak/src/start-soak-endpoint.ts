import {setTimeout as wait} from 'node:timers/promises';
import type {Socket} from 'node:net';
import {
	formatAnswer,
	formatLimit,
	formatStreamHead,
	leavingMark,
	notRunMark,
	signature,
	startFakeEndpoint,
	type ArrivedRequest,
} from '@valvesaddle/fake-endpoint';
import {crashingPath} from './crashing-path.ts';
import type {FaultKind} from './fault-kind.ts';
import type {Arrival} from './arrival.ts';
import type {LimitNotice} from './limit-notice.ts';
import type {Notice} from './notice.ts';
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
	readonly onArrival: (arrival: Arrival) => void;
	readonly onNotice: (notice: Notice) => void;
	/**
	Called when the process ends under a request with this path.
	*/
	readonly onCrash: (path: string) => void;
	readonly onLimit: (notice: LimitNotice) => void;
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
/**
Time for which an overloaded endpoint asks for no more requests, in seconds.
*/
const retryAfterS = 1.8;
/**
How long a stream stands still, and how long the first byte takes when it is late, in milliseconds.
*/
const shortestStallMs = 500;
const longestStallMs = 2500;
const shortestLateMs = 400;
const longestLateMs = 2000;
/**
What a large answer has after its first line, in characters.
*/
const filler = 'x'.repeat(7_000_000);

function formatChunk(text: string): string {
	return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/**
 Starts an endpoint for the soak: it runs requests, tells of each run, and misbehaves as it is told.

 @example
 const endpoint = await startSoakEndpoint({id: 'e1', random, now, onRun});
 endpoint.setFault('break');
 */
export async function startSoakEndpoint({id: endpoint, random, now, onRun, onArrival, onNotice, onCrash, onLimit}: EndpointOptions): Promise<SoakEndpoint> {
	const fake = await startFakeEndpoint();
	let fault: FaultKind | undefined;
	let limit: number | undefined;

	/**
	Headers that an answer has beside its own.
	*/
	function addNotice(id: string): Readonly<Record<string, string>> {
		return {...addLimit(id), ...addLeaving(id)};
	}

	function addLimit(id: string): Readonly<Record<string, string>> {
		if (limit === undefined) {
			return {};
		}

		onLimit({
			id, endpoint, at: now(), perSecond: limit,
		});
		return formatLimit(limit);
	}

	function addLeaving(id: string): Readonly<Record<string, string>> {
		if (fault !== 'announce') {
			return {};
		}

		onNotice({
			id, endpoint, at: now(), retryAfterMs: 0, isLeaving: true,
		});
		return leavingMark;
	}

	function drawMs(shortestMs: number, longestMs: number): number {
		return shortestMs + (random() * (longestMs - shortestMs));
	}

	function refuseOverloaded(request: ArrivedRequest, socket: Socket): void {
		onNotice({
			id: request.requestId, endpoint, at: now(), retryAfterMs: retryAfterS * 1000, isLeaving: false,
		});
		socket.write(formatAnswer('503 Service Unavailable', request, {...notRunMark, ...addLimit(request.requestId), 'retry-after': String(retryAfterS)}, ''));
	}

	function answerPlain(socket: Socket, request: ArrivedRequest, isSpoiled: boolean): void {
		const body = `for ${request.requestId}\n${request.line.includes('/large') ? filler : ''}`;
		// A spoiled answer is followed by one that nobody asked for.
		const extra = isSpoiled ? formatAnswer('200 OK', {requestId: 'nobody'}, signature, body) : '';
		socket.write(formatAnswer('200 OK', request, {...signature, ...addNotice(request.requestId)}, body) + extra);
	}

	async function answerStream(socket: Socket, request: ArrivedRequest, isSpoiled: boolean, isStalled: boolean): Promise<void> {
		const {requestId: id, lastEventId} = request;
		const from = lastEventId + 1;
		const isBroken = isSpoiled && random() < 0.7;
		const stalledAt = isStalled ? from + Math.floor(random() * (events - from)) : -1;
		socket.write(formatStreamHead(request, addNotice(id)));
		for (let event = from; event < events; event++) {
			if (isBroken && event > from + 2) {
				socket.write(formatChunk(`id: ${event}\nda`), () => {
					socket.resetAndDestroy();
				});
				return;
			}

			socket.write(formatChunk(`id: ${event}\ndata: for ${id}\n\n`));
			// eslint-disable-next-line no-await-in-loop -- one event after the other
			await wait(event === stalledAt ? drawMs(shortestStallMs, longestStallMs) : pauseMs);
		}

		socket.write('0\r\n\r\n');
	}

	async function runRequest(request: ArrivedRequest, socket: Socket): Promise<void> {
		const {requestId: id} = request;
		onArrival({id, endpoint, at: now()});
		const isStruck = fault !== undefined && random() < struckShare;
		if (isStruck && fault === 'refuse') {
			socket.write(formatAnswer('503 Service Unavailable', request, {...notRunMark, ...addLimit(id)}, ''));
			return;
		}

		if (isStruck && fault === 'overload') {
			refuseOverloaded(request, socket);
			return;
		}

		if (request.line.includes(crashingPath)) {
			onRun({
				id, endpoint, at: now(), isSpoiled: true,
			});
			await wait(random() * longestWorkMs);
			onCrash(crashingPath);
			return;
		}

		const isSpoiled = isStruck && (fault === 'break' || fault === 'spoil');
		onRun({
			id, endpoint, at: now(), isSpoiled,
		});
		if (isStruck && fault === 'late') {
			await wait(drawMs(shortestLateMs, longestLateMs));
		}

		if (request.line.includes('/stream/') || request.line.includes('/resumable/')) {
			await answerStream(socket, request, isSpoiled, isStruck && fault === 'stall');
			return;
		}

		await wait(random() * longestWorkMs);
		if (isSpoiled && fault === 'break') {
			socket.resetAndDestroy();
		} else {
			answerPlain(socket, request, isSpoiled);
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
		setLimit(perSecond) {
			limit = perSecond;
		},
		close: fake.close,
	};
}

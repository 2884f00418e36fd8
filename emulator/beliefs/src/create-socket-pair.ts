import {EventEmitter} from 'node:events';
import {WebSocket} from 'ws';
import type {EmulatedSocket} from './emulated-socket.ts';

type SocketPairOptions = {
	/**
	Time that the next message of that many bytes takes from one end, in milliseconds.
	*/
	readonly measureDelay: (from: 'near' | 'far', bytes: number) => number;
	/**
	Whether nothing passes now, so that messages wait.
	*/
	readonly isCut: () => boolean;
	/**
	Whether all that is sent vanishes.
	*/
	readonly isSilent: () => boolean;
};

type Frame = {
	readonly kind: 'open' | 'message' | 'ping' | 'pong' | 'close';
	readonly text: string;
};

type Direction = {
	readonly send: (frame: Frame) => void;
};

type SocketEnd = Direction & {
	readonly socket: EmulatedSocket;
	readonly receive: (frame: Frame) => void;
};

/**
Pause after which what did not pass is sent again, in milliseconds: the least that TCP on Linux waits (`TCP_RTO_MIN`).
*/
const resendMs = 200;

/**
Bytes that a message takes besides its text: heads of WebSocket, TCP and IP.
*/
const frameBytes = 46;

/**
 Creates the two ends of a link. Messages of a direction arrive in order; the far end, which took the link in, is first
 to send, and the near end is open when it hears of that.

 @example
 const [near, far] = createSocketPair({measureDelay: () => 5, isCut: () => false, isSilent: () => false});
 near.send('{}');
 */
export function createSocketPair(options: SocketPairOptions): readonly [EmulatedSocket, EmulatedSocket] {
	const near: SocketEnd = createEnd(createDirection({...options, from: 'near'}, frame => {
		far.receive(frame);
	}));
	const far: SocketEnd = createEnd(createDirection({...options, from: 'far'}, frame => {
		near.receive(frame);
	}));
	far.send({kind: 'open', text: ''});
	return [near.socket, far.socket];
}

function createDirection({from, measureDelay, isCut, isSilent}: SocketPairOptions & {readonly from: 'near' | 'far'}, receive: (frame: Frame) => void): Direction {
	const queue: Array<{readonly frame: Frame; readonly at: number}> = [];
	let isWaiting = false;

	function sendNext(): void {
		isWaiting = false;
		const now = performance.now();
		while (queue.length > 0 && queue[0]!.at <= now) {
			if (isCut()) {
				waitFor(resendMs);
				return;
			}

			const {frame} = queue.shift()!;
			if (!isSilent()) {
				receive(frame);
			}
		}

		if (queue.length > 0) {
			waitFor(queue[0]!.at - now);
		}
	}

	function waitFor(milliseconds: number): void {
		if (isWaiting) {
			return;
		}

		isWaiting = true;
		setTimeout(sendNext, milliseconds);
	}

	return {
		send(frame) {
			const now = performance.now();
			const at = Math.max(queue.at(-1)?.at ?? 0, Math.ceil(now + measureDelay(from, frame.text.length + frameBytes)));
			queue.push({frame, at});
			waitFor(at - now);
		},
	};
}

function createEnd({send}: Direction): SocketEnd {
	// The links listen with `on`, as sockets of `ws` have it.
	// eslint-disable-next-line unicorn/prefer-event-target
	const events = new EventEmitter();
	let readyState: number = WebSocket.OPEN;

	function closeHere(): void {
		readyState = WebSocket.CLOSED;
		queueMicrotask(() => {
			events.emit('close');
		});
	}

	function endSocket(): void {
		if (readyState !== WebSocket.OPEN) {
			return;
		}

		send({kind: 'close', text: ''});
		closeHere();
	}

	const socket = Object.defineProperty(Object.assign(events, {
		send(text: string) {
			send({kind: 'message', text});
		},
		ping(text = '') {
			send({kind: 'ping', text});
		},
		terminate: endSocket,
		close: endSocket,
	}), 'readyState', {get: () => readyState}) as unknown as EmulatedSocket;

	return {
		socket,
		send,
		receive({kind, text}) {
			if (readyState !== WebSocket.OPEN) {
				return;
			}

			if (kind === 'close') {
				closeHere();
				return;
			}

			if (kind === 'ping') {
				send({kind: 'pong', text});
			}

			events.emit(kind, text);
		},
	};
}

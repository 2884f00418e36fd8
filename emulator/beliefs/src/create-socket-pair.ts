import {EventEmitter} from 'node:events';
import {WebSocket} from 'ws';
import type {EmulatedSocket} from './emulated-socket.ts';

type SocketPairOptions = {
	/**
	Delay of the next message from one end, in milliseconds.
	*/
	readonly measureDelay: (from: 'near' | 'far', bytes: number) => number;
	/**
	Whether the link is partitioned, so that messages are retransmitted later.
	*/
	readonly isPartitioned: () => boolean;
	/**
	Whether all messages are dropped.
	*/
	readonly isDropping: () => boolean;
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
Retransmission timeout in milliseconds: the minimum of TCP on Linux (`TCP_RTO_MIN`).
*/
const retransmitMs = 200;

/**
Bytes of the headers of a message: WebSocket, TCP and IP.
*/
const frameBytes = 46;

/**
 Creates the two ends of a link. Messages of a direction arrive in order. The far end, which accepted the link, sends first;
 the near end is open when it receives that frame.

 @example
 const [near, far] = createSocketPair({measureDelay: () => 5, isPartitioned: () => false, isDropping: () => false});
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

function createDirection({from, measureDelay, isPartitioned, isDropping}: SocketPairOptions & {readonly from: 'near' | 'far'}, receive: (frame: Frame) => void): Direction {
	const queue: Array<{readonly frame: Frame; readonly at: number}> = [];
	let isWaiting = false;

	function sendNext(): void {
		isWaiting = false;
		const now = performance.now();
		while (queue.length > 0 && queue[0]!.at <= now) {
			if (isPartitioned()) {
				startTimer(retransmitMs);
				return;
			}

			const {frame} = queue.shift()!;
			if (!isDropping()) {
				receive(frame);
			}
		}

		if (queue.length > 0) {
			startTimer(queue[0]!.at - now);
		}
	}

	function startTimer(milliseconds: number): void {
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
			startTimer(at - now);
		},
	};
}

function createEnd({send}: Direction): SocketEnd {
	// Peer links use `on`, as with sockets of `ws`.
	// eslint-disable-next-line unicorn/prefer-event-target
	const events = new EventEmitter();
	let readyState: number = WebSocket.OPEN;

	function closeLocally(): void {
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
		closeLocally();
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
				closeLocally();
				return;
			}

			if (kind === 'ping') {
				send({kind: 'pong', text});
			}

			events.emit(kind, text);
		},
	};
}

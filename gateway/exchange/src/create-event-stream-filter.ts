import {Buffer} from 'node:buffer';
import {createChunkCollector} from '@valvesaddle/buffers';
import type {EventStreamFilter} from './event-stream-filter.ts';

const boundary = '\n\n';
const idPattern = /^id:\s*(?<id>\d+)\s*$/mv;
const emptyBuffer = Buffer.alloc(0);
/**
Prefix of an event whose first line is its id, which is the common case.
*/
const idPrefix = new Uint8Array(Buffer.from('id: '));
const lineEnd = 10;
const digitZero = 48;
const decimalBase = 10;

/**
 Creates the filter of a server-sent event stream.

 @param afterId - Id of the last event that the caller already has; -1 for none.
 @example
 const filter = createEventStreamFilter(-1);
 filter.push(Buffer.from('id: 0\ndata: a\n\nid: 1\nda')).length; // 14
 filter.lastEventId(); // 0
 */
export function createEventStreamFilter(afterId: number): EventStreamFilter {
	let lastId = afterId;
	/**
	The incomplete event. Its chunks are copied, since a chunk may be a part of a larger buffer that would be kept with it.
	*/
	const partial = createChunkCollector();

	/**
	Whether a chunk ends the incomplete event; the boundary may begin in the piece before.
	*/
	function hasBoundary(chunk: Uint8Array): boolean {
		return Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength).includes(boundary) || (chunk[0] === lineEnd && partial.lastByte() === lineEnd);
	}

	function isNew(event: Uint8Array): boolean {
		const id = readEventId(event);
		if (id === undefined) {
			return true;
		}

		if (id <= lastId) {
			return false;
		}

		lastId = id;
		return true;
	}

	return {
		push(chunk) {
			if (chunk.length === 0) {
				return emptyBuffer;
			}

			if (!hasBoundary(chunk)) {
				partial.push(Buffer.from(chunk));
				return emptyBuffer;
			}

			partial.push(chunk);
			const joined = partial.take();
			const data = Buffer.from(joined.buffer, joined.byteOffset, joined.byteLength);
			const newEvents: Uint8Array[] = [];
			let from = 0;
			for (let end = data.indexOf(boundary); end !== -1; end = data.indexOf(boundary, from)) {
				const event = data.subarray(from, end + boundary.length);
				from = end + boundary.length;
				if (isNew(event)) {
					newEvents.push(event);
				}
			}

			partial.push(Buffer.from(data.subarray(from)));
			return newEvents.length === 1 ? newEvents[0]! : Buffer.concat(newEvents);
		},
		discardPartialEvent() {
			partial.take();
		},
		lastEventId: () => lastId,
		countPartialBytes: partial.countBytes,
		hasPartialEvent: () => partial.countBytes() > 0,
	};
}

/**
Returns the id of an event; `undefined` when it has none.
*/
function readEventId(event: Uint8Array): number | undefined {
	return readLeadingId(event) ?? readIdAnywhere(event);
}

/**
Reads `id: 12` at the beginning of an event without decoding the whole event as text.
*/
function readLeadingId(event: Uint8Array): number | undefined {
	if (idPrefix.some((byte, index) => event[index] !== byte)) {
		return undefined;
	}

	let id = 0;
	for (let index = idPrefix.length; event[index] !== lineEnd; index++) {
		const digit = (event[index] ?? 0) - digitZero;
		if (!(digit >= 0 && digit < decimalBase)) {
			return undefined;
		}

		id = (id * decimalBase) + digit;
	}

	return event[idPrefix.length] === lineEnd ? undefined : id;
}

function readIdAnywhere(event: Uint8Array): number | undefined {
	const id = idPattern.exec(Buffer.from(event).toString('latin1'))?.groups?.id;
	return id === undefined ? undefined : Number(id);
}

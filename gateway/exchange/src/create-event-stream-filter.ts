import {Buffer} from 'node:buffer';
import {createChunkCollector} from '@valvesaddle/buffers';
import type {EventStreamFilter} from './event-stream-filter.ts';

const idPattern = /^id:\s*(?<id>\d+)\s*$/mv;
const emptyBuffer = Buffer.alloc(0);
/**
Prefix of an event whose first line is its id, which is the common case.
*/
const idPrefix = new Uint8Array(Buffer.from('id: '));
const lineFeed = 10;
const carriageReturn = 13;
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
	let isLastForwarded = true;

	/**
	Whether a chunk ends the incomplete event; the boundary may begin in the piece before.
	*/
	function hasBoundary(chunk: Uint8Array): boolean {
		return isEmptyLine(partial.lastByte(), chunk[0]) || findEventEnd(chunk, 0, chunk.includes(carriageReturn)) !== undefined;
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
			// Line ends that follow an event belong to it: the LF of a CR LF may come in the next chunk.
			const begin = partial.countBytes() === 0 ? findLineStart(chunk, 0) : 0;
			const newEvents: Uint8Array[] = isLastForwarded && begin > 0 ? [chunk.subarray(0, begin)] : [];
			const rest = chunk.subarray(begin);
			if (!hasBoundary(rest)) {
				partial.push(Buffer.from(rest));
				return newEvents[0] ?? emptyBuffer;
			}

			partial.push(rest);
			const data = partial.take();
			const hasCarriageReturn = data.includes(carriageReturn);
			let from = 0;
			for (let end = findEventEnd(data, 0, hasCarriageReturn); end !== undefined; end = findEventEnd(data, from, hasCarriageReturn)) {
				const event = data.subarray(from, end);
				from = end;
				isLastForwarded = isNew(event);
				if (isLastForwarded) {
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
Returns the place behind the first event, with all line ends that follow it; `undefined` when none ends.
*/
function findEventEnd(data: Uint8Array, from: number, hasCarriageReturn: boolean): number | undefined {
	const findLineEnd = (place: number) => hasCarriageReturn ? place : data.indexOf(lineFeed, place);
	for (let place = findLineEnd(from); place !== -1 && place < data.length; place = findLineEnd(place + 1)) {
		if (isEmptyLine(data[place], data[place + 1])) {
			return findLineStart(data, place);
		}
	}

	return undefined;
}

/**
Whether two bytes that follow each other are two line ends. CR LF is one.
*/
function isEmptyLine(first: number | undefined, second: number | undefined): boolean {
	return isLineEnd(first) && isLineEnd(second) && !(first === carriageReturn && second === lineFeed);
}

function isLineEnd(byte: number | undefined): boolean {
	return byte === lineFeed || byte === carriageReturn;
}

function findLineStart(data: Uint8Array, from: number): number {
	let place = from;
	while (isLineEnd(data[place])) {
		place++;
	}

	return place;
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
	for (let index = idPrefix.length; !isLineEnd(event[index]); index++) {
		const digit = (event[index] ?? 0) - digitZero;
		if (!(digit >= 0 && digit < decimalBase)) {
			return undefined;
		}

		id = (id * decimalBase) + digit;
	}

	return isLineEnd(event[idPrefix.length]) ? undefined : id;
}

function readIdAnywhere(event: Uint8Array): number | undefined {
	const id = idPattern.exec(Buffer.from(event).toString('latin1'))?.groups?.id;
	return id === undefined ? undefined : Number(id);
}

import {Buffer} from 'node:buffer';
import type {EventStreamFilter} from './event-stream-filter.ts';

const boundary = '\n\n';
const idPattern = /^id:\s*(?<id>\d+)\s*$/mv;
const nothing = Buffer.alloc(0);
/**
Bytes of a line that begins an event with its id, as all usual ones do.
*/
const idLead = new Uint8Array(Buffer.from('id: '));
const lineEnd = 10;
const digitZero = 48;
const base = 10;

/**
 Creates the relay of an event stream.

 @example
 const relay = createEventRelay(-1);
 relay.push(Buffer.from('id: 0\ndata: a\n\nid: 1\nda')).length; // 14
 relay.lastEventId(); // 0
 */
export function createEventStreamFilter(firstAfter: number): EventStreamFilter {
	let lastId = firstAfter;
	let rest = nothing;

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
			const data = rest.length === 0 ? Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength) : Buffer.concat([rest, chunk]);
			const passed: Uint8Array[] = [];
			let from = 0;
			for (let end = data.indexOf(boundary); end !== -1; end = data.indexOf(boundary, from)) {
				const event = data.subarray(from, end + boundary.length);
				from = end + boundary.length;
				if (isNew(event)) {
					passed.push(event);
				}
			}

			rest = from === data.length ? nothing : Buffer.from(data.subarray(from));
			return passed.length === 1 ? passed[0]! : Buffer.concat(passed);
		},
		restart() {
			rest = nothing;
		},
		lastEventId: () => lastId,
		hasPartialEvent: () => rest.length > 0,
	};
}

/**
Id of an event; `undefined` when it has none.
*/
function readEventId(event: Uint8Array): number | undefined {
	return readLeadingId(event) ?? readIdAnywhere(event);
}

/**
Reads `id: 12` at the beginning of an event, without making text of the whole event.
*/
function readLeadingId(event: Uint8Array): number | undefined {
	if (idLead.some((byte, index) => event[index] !== byte)) {
		return undefined;
	}

	let id = 0;
	for (let index = idLead.length; event[index] !== lineEnd; index++) {
		const digit = (event[index] ?? 0) - digitZero;
		if (!(digit >= 0 && digit < base)) {
			return undefined;
		}

		id = (id * base) + digit;
	}

	return event[idLead.length] === lineEnd ? undefined : id;
}

function readIdAnywhere(event: Uint8Array): number | undefined {
	const id = idPattern.exec(Buffer.from(event).toString('latin1'))?.groups?.id;
	return id === undefined ? undefined : Number(id);
}

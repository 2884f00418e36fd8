import {Buffer} from 'node:buffer';
import type {EventRelay} from './event-relay.ts';

const boundary = '\n\n';
const idPattern = /^id:\s*(?<id>\d+)\s*$/mv;

/**
 Creates the relay of an event stream.

 @example
 const relay = createEventRelay(-1);
 relay.push(Buffer.from('id: 0\ndata: a\n\nid: 1\nda')).length; // 14
 relay.lastEventId(); // 0
 */
export function createEventRelay(firstAfter: number): EventRelay {
	let lastId = firstAfter;
	let rest = Buffer.alloc(0);

	return {
		push(chunk) {
			let data = rest.length === 0 ? Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength) : Buffer.concat([rest, chunk]);
			const passed: Uint8Array[] = [];
			for (let end = data.indexOf(boundary); end !== -1; end = data.indexOf(boundary)) {
				const event = data.subarray(0, end + boundary.length);
				data = data.subarray(end + boundary.length);
				const id = idPattern.exec(event.toString('latin1'))?.groups?.id;
				if (!(id === undefined || Number(id) > lastId)) {
					continue;
				}

				lastId = id === undefined ? lastId : Number(id);
				passed.push(event);
			}

			rest = Buffer.from(data);
			return passed.length === 1 ? passed[0]! : Buffer.concat(passed);
		},
		restart() {
			rest = Buffer.alloc(0);
		},
		lastEventId: () => lastId,
		hasRest: () => rest.length > 0,
	};
}

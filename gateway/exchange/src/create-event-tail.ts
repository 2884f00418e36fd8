import {Buffer} from 'node:buffer';
import type {EventTail} from './event-tail.ts';

/**
Two line ends, each LF, CR or CR LF.
*/
const eventEnd = /(?:\r\n|\n|\r(?!\n)){2}$/v;
/**
Bytes of the longest end of an event.
*/
const endBytes = 4;

/**
 Creates the tail of an event stream. It looks at the last bytes of each chunk only, so its cost does not depend on the events.

 @example
 const tail = createEventTail();
 tail.push(Buffer.from('data: a\n\nda'));
 tail.isWithinEvent(); // true
 */
export function createEventTail(): EventTail {
	// A stream begins as if an event had just ended.
	let last = '\n\n';

	return {
		push(chunk) {
			const end = chunk.subarray(-endBytes);
			last = (last + Buffer.from(end.buffer, end.byteOffset, end.byteLength).toString('latin1')).slice(-endBytes);
		},
		isWithinEvent: () => !eventEnd.test(last),
	};
}

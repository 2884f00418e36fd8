import {Buffer} from 'node:buffer';
import type {AnswerPage} from '@valvesaddle/answers';

/**
Maximum bytes of parts in one message, which delays urgent calls on the same link by up to 75 ms on an uplink of 7 Mbit/s.
*/
const maximumPageBytes = 64 * 1024;

/**
 Truncates a page to what one message to another node may hold, but to no less than one part. A truncated page has no
 end.

 @example
 return fitPage(await log.readWithin(offset, 5000));
 */
export function fitPage(page: AnswerPage): AnswerPage {
	let bytes = 0;
	const overflow = page.parts.findIndex((part, index) => {
		bytes += Buffer.byteLength(part);
		return bytes > maximumPageBytes && index > 0;
	});
	return overflow === -1 ? page : {parts: page.parts.slice(0, overflow), end: undefined};
}

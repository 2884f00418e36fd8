import {Buffer} from 'node:buffer';
import type {AnswerPage} from '@valvesaddle/answers';

/**
Most bytes of parts in one message: it passes an uplink of 7 Mbit/s in 75 ms, for which urgent calls on the same link wait
at most.
*/
const maximumPageBytes = 64 * 1024;

/**
 Cuts a page to what one message to another node may hold, and to one part at the least. The end comes with the last part
 only.

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

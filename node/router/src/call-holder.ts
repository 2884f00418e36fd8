import {setTimeout as delay} from 'node:timers/promises';
import type {PeerNetwork} from '@valvesaddle/network';

/**
Time for which a node that cannot be reached is called again, in milliseconds: a broken link is often opened anew at once,
and the answer is still kept.
*/
const unreachableTimeoutMs = 3000;
const retryDelayMs = 100;

type HolderCall = {
	readonly network: PeerNetwork;
	/**
	Node that holds the answer.
	*/
	readonly holder: string;
	readonly requestId: string;
	readonly account: string;
	/**
	Number of parts that are known.
	*/
	readonly offset: number;
	/**
	Number of characters of a plain service's reply that are known.
	*/
	readonly replyOffset: number;
	/**
	Whether the reader has left, so that the call is not repeated.
	*/
	readonly hasLeft: () => boolean;
};

/**
 Reads a page of an answer from the node that holds it, again for a while if the node cannot be reached.

 @example
 const result = await callHolder({network, holder: 'b1', requestId, account, offset: 0, replyOffset: 0, hasLeft: () => false});
 */
export async function callHolder({network, holder, hasLeft, ...parameters}: HolderCall): Promise<Awaited<ReturnType<PeerNetwork['call']>>> {
	const startedAt = performance.now();
	for (;;) {
		// eslint-disable-next-line no-await-in-loop -- one call at a time
		const result = await network.call(holder, 'answer.read', parameters);
		const isUnreachable = result.isErr() && result.error.code === 'ERR_VALVESADDLE_PEER_UNREACHABLE';
		if (!isUnreachable || hasLeft() || performance.now() - startedAt >= unreachableTimeoutMs) {
			return result;
		}

		// eslint-disable-next-line no-await-in-loop -- one call at a time
		await delay(retryDelayMs);
	}
}

import type {BufferLimits} from './buffer-limits.ts';
import type {HoldDecision} from './hold-decision.ts';
import {measureFairPart} from './measure-fair-part.ts';

type HoldQuestion = Pick<BufferLimits, 'limitBytes' | 'pressureShare' | 'accountShare'> & {
	/**
	Bytes that the node holds for all accounts.
	*/
	readonly heldBytes: number;
	/**
	Bytes that it holds for the account that asks, and for each of the others that have any.
	*/
	readonly accountBytes: number;
	readonly otherBytes: readonly number[];
	/**
	Bytes that are asked for.
	*/
	readonly bytes: number;
	/**
	Whether it is for a request of the most urgent kind, which may also use the room that is kept for other accounts.
	*/
	readonly isUrgent: boolean;
};

/**
 Decides whether bytes are held. Answers the load of many bodies and answers at once, or of callers of one account that take long to
 send or to read: up to the pressure share nothing is refused; above it an account that holds more than its max-min part is refused,
 and one within its part waits only while the node is full.

 @example
 decideHold({limitBytes: 100, pressureShare: 0.5, accountShare: 0.5, heldBytes: 60, accountBytes: 50, otherBytes: [10], bytes: 10, isUrgent: false}); // 'refuse'
 */
export function decideHold(question: HoldQuestion): HoldDecision {
	const {limitBytes, pressureShare, heldBytes, bytes} = question;
	if (heldBytes + bytes <= limitBytes * pressureShare) {
		return 'hold';
	}

	if (question.accountBytes + bytes > measurePart(question)) {
		return 'refuse';
	}

	return heldBytes + bytes <= limitBytes ? 'hold' : 'wait';
}

function measurePart({limitBytes, accountShare, accountBytes, otherBytes, bytes, isUrgent}: HoldQuestion): number {
	const mostBytes = limitBytes * accountShare;
	return isUrgent ? mostBytes : Math.min(mostBytes, measureFairPart(limitBytes, [...otherBytes, accountBytes + bytes]));
}

import {isPastCheck} from './is-past-check.ts';
import type {WaitingDecision} from './waiting-decision.ts';
import type {WaitingInput} from './waiting-input.ts';

/**
Part of the predicted wait that counts before the check: news of endpoints that come free may still be on its way.
*/
const doubtfulShare = 0.5;

/**
 Decides whether a request goes on waiting for room. One that cannot be served within its objective is refused: at once if even half
 of the prediction would leave it no time, and after an eighth of its objective if the prediction says so then. One that was held
 at that check is kept until it could not be in time even if it were sent now, since its caller has waited already. Urgent and
 promised requests wait until their deadline.

 @example
 decideWaiting({isUrgent: false, isPromised: false, isHeld: false, waitedMs: 80, roomInMs: 900, serviceMs: 100, objectiveMs: 600, leftMs: 520}); // 'refuse'
 */
export function decideWaiting({isUrgent, isPromised, isHeld, waitedMs, roomInMs, serviceMs, objectiveMs, leftMs}: WaitingInput): WaitingDecision {
	if (isUrgent || isPromised) {
		return 'wait';
	}

	if (leftMs < serviceMs) {
		return 'refuse';
	}

	const expectedMs = (isPastCheck({waitedMs, objectiveMs}) ? roomInMs : roomInMs * doubtfulShare) + serviceMs;
	return isHeld || expectedMs <= leftMs ? 'wait' : 'refuse';
}

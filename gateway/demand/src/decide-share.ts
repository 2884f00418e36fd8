import type {Admission} from '@valvesaddle/admission';
import type {AccountShare} from './account-share.ts';
import {roomShare} from './room-share.ts';
import type {ShareDecision} from './share-decision.ts';
import type {ShareInput} from './share-input.ts';

/**
Part of the objective by the predicted wait for others above which a request makes others late: each of them has half of its
objective left for its own work. Admission without shares refuses at the same wait.
*/
const lateShare = 0.5;
/**
Multiple of its share up to which all that an account asks counts as within: nodes together know demand and capacity to about a fifth.
*/
const tolerance = 1.25;
/**
Shortest Retry-After in milliseconds: time for a share to change by told demand.
*/
const minimumRetryAfterMs = 500;
/**
Range of retry times as a share of their mean, so that callers that were refused together do not retry together.
*/
const spread = 0.5;

/**
 Decides on a request of a contended pool. Each node admits the same part of an account's requests, so that all nodes together admit
 its share, whatever each of them sees. Requests within the share are decided on as without shares. Of those beyond, callers that
 have come back rank behind; the others rank behind, or are refused when they would make others late. Callers that have come back
 use the share first. While a less urgent class is crowded out, all beyond the share are refused.

 @example
 decideShare({...input, share: {shareTokens: 100, askedTokens: 800, returnedTokens: 0}, draw: 0.9}).isWithinShare; // false
 */
export function decideShare(input: ShareInput): ShareDecision {
	const {admission, priority, share, isReturned, waitMs, objectiveMs, draw} = input;
	const hasRoom = waitMs <= roomShare * objectiveMs && !share.isCrowding;
	if (priority === 0 || hasRoom || draw < measureWithinPart(share, isReturned)) {
		return {isWithinShare: true, admission};
	}

	const isRefused = share.isCrowding || (!isReturned && (admission.kind === 'refuse' || waitMs > lateShare * objectiveMs));
	return {isWithinShare: false, admission: isRefused ? toRefusal(input) : {kind: 'send-late'}};
}

/**
Part of the requests that is within the share, of callers that have come back or of new ones.
*/
function measureWithinPart({shareTokens, askedTokens, returnedTokens}: AccountShare, isReturned: boolean): number {
	const [available, asked] = isReturned ? [shareTokens, returnedTokens] : [shareTokens - returnedTokens, askedTokens - returnedTokens];
	return askedTokens <= tolerance * shareTokens || asked <= 0 ? 1 : Math.max(0, available / asked);
}

/**
The account may come back when its share has caught up with what it asked beyond it, within a window.
*/
function toRefusal({admission, share: {shareTokens, askedTokens}, windowMs, spreadDraw}: ShareInput): Admission {
	const excessMs = windowMs * Math.max(0, askedTokens - shareTokens) / Math.max(1, shareTokens);
	const earliestMs = Math.max(minimumRetryAfterMs, admission.kind === 'refuse' ? admission.retryAfterMs : 0);
	const meanMs = Math.max(earliestMs, Math.min(windowMs, excessMs));
	return {kind: 'refuse', retryAfterMs: meanMs * (1 + (spread * (spreadDraw - 0.5)))};
}

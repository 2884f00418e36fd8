import type {ClaimResponse} from './claim-response.ts';
import type {ClaimEntry} from './claim-entry.ts';

/**
 Returns the response for a claim that another attempt holds.

 @example
 toHeldAnswer(entry); // {kind: 'held', requestId: 'a1-9', node: 'a1', fingerprint: '…'}
 */
export function toHeldResponse(entry: ClaimEntry): ClaimResponse {
	return {
		kind: 'held', requestId: entry.r, node: entry.n, fingerprint: entry.f,
	};
}

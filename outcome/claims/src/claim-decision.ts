import type {ClaimResponse} from './claim-response.ts';
import type {ClaimEntry} from './claim-entry.ts';
import type {PendingClaim} from './pending-claim.ts';

/**
Decision on a batch of claims and releases.
*/
export type ClaimDecision = {
	readonly responses: ReadonlyMap<PendingClaim, ClaimResponse>;
	/**
	Entries to write before the responses are sent.
	*/
	readonly entries: readonly ClaimEntry[];
};

import type {ClaimResponse} from './claim-response.ts';
import type {ClaimEntry} from './claim-entry.ts';
import type {PendingClaim} from './pending-claim.ts';

/**
What a batch of claims comes to.
*/
export type ClaimDecision = {
	readonly responses: ReadonlyMap<PendingClaim, ClaimResponse>;
	/**
	Entries to write so that the answers hold.
	*/
	readonly entries: readonly ClaimEntry[];
};

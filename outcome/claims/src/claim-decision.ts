import type {ClaimAnswer} from './claim-answer.ts';
import type {ClaimEntry} from './claim-entry.ts';
import type {PendingClaim} from './pending-claim.ts';

/**
What a batch of claims comes to.
*/
export type ClaimDecision = {
	readonly answers: ReadonlyMap<PendingClaim, ClaimAnswer>;
	/**
	Entries to write so that the answers hold.
	*/
	readonly entries: readonly ClaimEntry[];
};

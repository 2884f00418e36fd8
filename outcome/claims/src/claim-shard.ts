import type {ResultAsync} from 'neverthrow';
import type {ValvesaddleError} from '@valvesaddle/error';
import type {ClaimResponse} from './claim-response.ts';
import type {ClaimRequest} from './claim-request.ts';

/**
 Writer of one shard of the claims. Several writers may be active at once: each write is a compare-and-swap on the
 shard's head, so the write of an outdated writer fails and it reads the head again.
 */
export type ClaimShard = {
	readonly claim: (request: ClaimRequest) => ResultAsync<ClaimResponse, ValvesaddleError>;
	/**
	Releases the claim of an attempt that certainly did not run.
	*/
	readonly release: (request: ClaimRequest) => ResultAsync<ClaimResponse, ValvesaddleError>;
	/**
	Looks up a claim without making one.
	*/
	readonly find: (request: ClaimRequest) => ResultAsync<ClaimResponse, ValvesaddleError>;
	/**
	Number of claims in memory.
	*/
	readonly size: () => number;
};

import type {ResultAsync} from 'neverthrow';
import type {ValvesaddleError} from '@valvesaddle/error';
import type {ClaimResponse} from './claim-response.ts';
import type {ClaimRequest} from './claim-request.ts';

/**
 Writer of one shard of the claims. Any number of writers may be active at once: each write is a compare-and-swap on
 the shard's head, so a paused writer's write fails and it reads again.
 */
export type ClaimShard = {
	readonly claim: (question: ClaimRequest) => ResultAsync<ClaimResponse, ValvesaddleError>;
	/**
	Gives a claim back whose attempt surely did not run.
	*/
	readonly release: (question: ClaimRequest) => ResultAsync<ClaimResponse, ValvesaddleError>;
	/**
	Looks a claim up without making one.
	*/
	readonly find: (question: ClaimRequest) => ResultAsync<ClaimResponse, ValvesaddleError>;
	/**
	Claims in memory.
	*/
	readonly size: () => number;
};

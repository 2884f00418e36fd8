import type {ResultAsync} from 'neverthrow';
import type {ValvesaddleError} from '@valvesaddle/error';
import type {ClaimAnswer} from './claim-answer.ts';
import type {ClaimQuestion} from './claim-question.ts';

/**
 Writer of one shard of the claims. Any number of writers may be active at once: each write is a compare-and-swap on
 the shard's head, so a paused writer's write fails and it reads again.
 */
export type ClaimShard = {
	readonly claim: (question: ClaimQuestion) => ResultAsync<ClaimAnswer, ValvesaddleError>;
	/**
	Gives a claim back whose attempt surely did not run.
	*/
	readonly release: (question: ClaimQuestion) => ResultAsync<ClaimAnswer, ValvesaddleError>;
	/**
	Looks a claim up without making one.
	*/
	readonly find: (question: ClaimQuestion) => ResultAsync<ClaimAnswer, ValvesaddleError>;
	/**
	Claims in memory.
	*/
	readonly size: () => number;
};

import type {ResultAsync} from 'neverthrow';
import type {ValvesaddleError} from '@valvesaddle/error';
import type {ClaimAnswer} from './claim-answer.ts';
import type {ClaimQuestion} from './claim-question.ts';

/**
Asks the writer of the right shard, wherever it is. Errors: `ERR_VALVESADDLE_CLAIMS_UNAVAILABLE`.
*/
export type ClaimClient = {
	readonly claim: (question: ClaimQuestion) => ResultAsync<ClaimAnswer, ValvesaddleError>;
	readonly release: (question: ClaimQuestion) => ResultAsync<ClaimAnswer, ValvesaddleError>;
	readonly find: (question: ClaimQuestion) => ResultAsync<ClaimAnswer, ValvesaddleError>;
	/**
	Answers a peer's question with the shard writer on this node.
	*/
	readonly serve: (method: keyof ClaimMethods, question: ClaimQuestion) => Promise<ClaimAnswer>;
	/**
	Claims in memory on this node.
	*/
	readonly size: () => number;
};

type ClaimMethods = {
	readonly claim: unknown;
	readonly release: unknown;
	readonly find: unknown;
};

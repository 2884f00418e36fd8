import type {ResultAsync} from 'neverthrow';
import type {ValvesaddleError} from '@valvesaddle/error';
import type {ClaimResponse} from './claim-response.ts';
import type {ClaimRequest} from './claim-request.ts';

/**
Asks the writer of the right shard, wherever it is. Errors: `ERR_VALVESADDLE_CLAIMS_UNAVAILABLE`.
*/
export type ClaimClient = {
	readonly claim: (question: ClaimRequest) => ResultAsync<ClaimResponse, ValvesaddleError>;
	readonly release: (question: ClaimRequest) => ResultAsync<ClaimResponse, ValvesaddleError>;
	readonly find: (question: ClaimRequest) => ResultAsync<ClaimResponse, ValvesaddleError>;
	/**
	Answers a peer's question with the shard writer on this node.
	*/
	readonly serve: (method: keyof ClaimMethods, question: ClaimRequest) => Promise<ClaimResponse>;
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

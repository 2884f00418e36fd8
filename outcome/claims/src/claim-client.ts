import type {ResultAsync} from 'neverthrow';
import type {ValvesaddleError} from '@valvesaddle/error';
import type {ClaimResponse} from './claim-response.ts';
import type {ClaimRequest} from './claim-request.ts';

/**
Sends requests to the writer of the right shard, on this node or a peer. Errors: `ERR_VALVESADDLE_CLAIMS_UNAVAILABLE`.
*/
export type ClaimClient = {
	readonly claim: (request: ClaimRequest) => ResultAsync<ClaimResponse, ValvesaddleError>;
	readonly release: (request: ClaimRequest) => ResultAsync<ClaimResponse, ValvesaddleError>;
	readonly find: (request: ClaimRequest) => ResultAsync<ClaimResponse, ValvesaddleError>;
	/**
	Handles a peer's request with the shard writer of this node.
	*/
	readonly serve: (method: keyof ClaimMethods, request: ClaimRequest) => Promise<ClaimResponse>;
	/**
	Number of claims in memory on this node.
	*/
	readonly size: () => number;
};

type ClaimMethods = {
	readonly claim: unknown;
	readonly release: unknown;
	readonly find: unknown;
};

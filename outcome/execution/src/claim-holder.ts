import type {AnswerEnd} from '@valvesaddle/answers';

/**
Claim of one request. Every method throws `ERR_VALVESADDLE_CLAIMS_UNAVAILABLE` when claims cannot be recorded.
*/
export type ClaimHolder = {
	/**
	Returns the end of the request if another attempt already holds its key.
	*/
	readonly findOther: () => Promise<AnswerEnd | undefined>;
	/**
	Claims the request unless it is claimed already; returns the end of the request if another attempt holds its key.
	*/
	readonly claim: () => Promise<AnswerEnd | undefined>;
	/**
	Releases the claim if it is or may be held; only for a request that certainly did not run.
	*/
	readonly release: () => Promise<void>;
};

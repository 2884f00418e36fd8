import type {AnswerEnd} from '@valvesaddle/answers';

/**
The claim of one request. Every method throws `ERR_VALVESADDLE_CLAIMS_UNAVAILABLE` when claims cannot be recorded.
*/
export type ClaimHolder = {
	/**
	The end of the request if another attempt holds its key already.
	*/
	readonly findOther: () => Promise<AnswerEnd | undefined>;
	/**
	Claims the request once; the end of the request if another attempt holds its key.
	*/
	readonly claim: () => Promise<AnswerEnd | undefined>;
	/**
	Gives the claim back, if it is held; only for a request that surely did not run.
	*/
	readonly release: () => Promise<void>;
};

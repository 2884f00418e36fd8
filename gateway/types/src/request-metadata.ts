import type {PromptPart} from './prompt-part.ts';

/**
Decoded headers of a caller's request.
*/
export type RequestMetadata = {
	/**
	Id of the caller's attempt; `undefined` when it sent none.
	*/
	readonly requestId: string | undefined;
	/**
	The caller's timeout, in milliseconds; `undefined` when it sent none.
	*/
	readonly waitMs: number | undefined;
	readonly apiKey: string | undefined;
	readonly promptTokens: number;
	/**
	Maximum number of tokens to generate.
	*/
	readonly outputTokens: number;
	readonly parts: readonly PromptPart[];
	/**
	Event after which a stream resumes; -1 for its start.
	*/
	readonly lastEventId: number;
};

import type {PromptPart} from './prompt-part.ts';

/**
What a caller's headers say, decoded.
*/
export type RequestMetadata = {
	/**
	Id of this attempt of the caller; `undefined` when it sent none.
	*/
	readonly requestId: string | undefined;
	/**
	Milliseconds that the caller waits; `undefined` when it does not say.
	*/
	readonly waitMs: number | undefined;
	readonly apiKey: string | undefined;
	readonly promptTokens: number;
	/**
	Largest number of tokens to generate.
	*/
	readonly outputTokens: number;
	readonly parts: readonly PromptPart[];
	/**
	Event after which a stream goes on; -1 for its beginning.
	*/
	readonly lastEventId: number;
};

import type {EngineJob} from './engine-job.ts';

/**
State of a request in an engine.
*/
export type Sequence = {
	readonly job: EngineJob;
	readonly order: number;
	/**
	Prompt tokens still to prefill, and those that were prefilled.
	*/
	pendingPrefill: number;
	prefilledTokens: number;
	/**
	Prompt and output tokens of this request in the KV cache.
	*/
	contextTokens: number;
	/**
	Output tokens generated, and stream events sent.
	*/
	generatedTokens: number;
	sentEvents: number;
};

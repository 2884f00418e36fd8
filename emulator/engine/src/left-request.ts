/**
Follows a request that was removed, as if it had stayed.
*/
export type LeftRequest = {
	/**
	Called once with the work that was thrown away: prompt tokens prefilled and output tokens generated.
	*/
	readonly onRemoved: (work: {readonly prefilledTokens: number; readonly generatedTokens: number}) => void;
	/**
	Called when the request would have ended, with the time in milliseconds that its own prefill would have added by now. Never
	called if the engine loses its requests before.
	*/
	readonly onEnd: (delayMs: number) => void;
};

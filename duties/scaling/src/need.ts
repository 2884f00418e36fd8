/**
Estimated replica demand of a pool.
*/
export type Need = {
	/**
	Highest estimate of the last seconds, so that a pool scales down slowly.
	*/
	readonly count: number;
	/**
	Replicas that the current load needs.
	*/
	readonly needed: number;
	/**
	Recent rate of prompt tokens to prefill, in tokens per second.
	*/
	readonly tokensPerS: number;
	/**
	What determined the count: open requests, prefill (`reading`) or the configured minimum (`least`).
	*/
	readonly reason: 'open requests' | 'reading' | 'least';
};

/**
A fault of an engine:

- `crash`: loses its requests, connections and cache, and accepts requests again at once.
- `dark`: sends nothing, then restarts without its requests and cache.
- `slow`: takes longer for each step.
- `overload`: refuses requests, with or without a cooldown.
- `leave`: signals in its answers that it drains, but not in its entry in the store.
*/
export type EmulationFault = {
	readonly kind: 'crash' | 'dark' | 'slow' | 'overload' | 'leave';
	readonly engine: number;
	readonly atMs: number;
	readonly forMs: number;
	/**
	Factor on the times of a slow engine, or share of requests that an overloaded one refuses.
	*/
	readonly factor: number;
	/**
	Cooldown that an overloaded engine requests; none if omitted.
	*/
	readonly retryAfterMs?: number;
};

/**
What happens to an engine: it loses its requests and connections and comes back (`crash`), is silent and comes back empty
(`dark`), takes longer for everything (`slow`), refuses requests and asks for a pause (`overload`), or says in its answers that it
leaves while its entry does not (`leave`).
*/
export type EmulationFault = {
	readonly kind: 'crash' | 'dark' | 'slow' | 'overload' | 'leave';
	readonly engine: number;
	readonly atMs: number;
	readonly forMs: number;
	/**
	Factor on all times of a slow engine, or part of the requests that an overloaded one refuses.
	*/
	readonly factor: number;
	/**
	Time for which an overloaded engine asks for no more requests; without it it refuses only.
	*/
	readonly retryAfterMs?: number;
};

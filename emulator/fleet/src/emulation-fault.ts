/**
What happens to an engine: it loses its requests and connections and comes back (`crash`), is silent and comes back empty
(`dark`), or takes longer for everything (`slow`).
*/
export type EmulationFault = {
	readonly kind: 'crash' | 'dark' | 'slow';
	readonly engine: number;
	readonly atMs: number;
	readonly forMs: number;
	/**
	Factor on all times of a slow engine.
	*/
	readonly factor: number;
};

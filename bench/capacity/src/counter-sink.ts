/**
Takes the counters that nodes send and sums them up.
*/
export type CounterSink = {
	/**
	Address to give to the nodes.
	*/
	readonly address: string;
	/**
	Sum of a counter over all nodes so far.
	*/
	readonly total: (name: string) => number;
	readonly close: () => void;
};

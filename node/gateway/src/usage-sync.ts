import type {UsageCounters} from '@valvesaddle/duty-usage';

/**
Exchange of usage counts with peers.
*/
export type UsageSync = {
	/**
	Counts a request of this node that began to run; the time is in milliseconds on the monotonic clock.
	*/
	readonly count: (account: string, at: number) => void;
	/**
	Sends what changed since the last call.
	*/
	readonly send: () => void;
	/**
	Sends all rows to a node that has just been linked.
	*/
	readonly sendFull: (node: string) => void;
	/**
	Counters of this node and its peers.
	*/
	readonly counters: UsageCounters;
	/**
	Applies a peer's message; throws `ZodError` if it is malformed.
	*/
	readonly apply: (parameters: unknown, node: string) => void;
};

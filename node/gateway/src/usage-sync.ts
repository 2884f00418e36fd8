import type {UsageCounters} from '@valvesaddle/duty-usage';

/**
Exchange of counts of usage with peers.
*/
export type UsageSync = {
	/**
	Counts a request of this node that began to run; the time is in milliseconds on the steady clock.
	*/
	readonly count: (account: string, at: number) => void;
	/**
	Sends what is new since the last call.
	*/
	readonly send: () => void;
	/**
	Sends all to a node that has just been linked.
	*/
	readonly introduce: (node: string) => void;
	/**
	All that is known.
	*/
	readonly book: UsageCounters;
	/**
	Takes in a peer's message; throws `ZodError` for one of a wrong form.
	*/
	readonly apply: (parameters: unknown, node: string) => void;
};

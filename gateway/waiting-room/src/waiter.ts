import type {SendOutcome} from './send-outcome.ts';
import type {WithdrawalReason} from './withdrawal-reason.ts';

/**
A request that waits. Times are in milliseconds on the monotonic clock.
*/
export type Waiter = {
	readonly requestId: string;
	readonly pool: string;
	readonly route: string;
	/**
	Requests of a class wait in one order; those of a route that are late are a class of their own.
	*/
	readonly className: string;
	/**
	Rank of the class, 0 for the most urgent.
	*/
	readonly rank: number;
	readonly account: string;
	readonly arrivedAt: number;
	readonly objectiveMs: number;
	/**
	Time of the latency objective, and the time that an endpoint needs until then.
	*/
	readonly objectiveAt: number;
	readonly serviceMs: number;
	readonly hasReturned: boolean;
	/**
	Whether it may not be refused for load.
	*/
	readonly isPromised: boolean;
	/**
	Time until which it may wait although it is promised; until its deadline if omitted.
	*/
	readonly latestAt?: number | undefined;
	readonly bytes: number;
	readonly tokens: number;
	/**
	Predicted time until an endpoint has room for it; `Infinity` if there is none.
	*/
	readonly getRoomInMs: () => number;
	/**
	Sends the request if an endpoint whose turn it is has room.
	*/
	readonly send: (hasTurn: (incarnation: string) => boolean) => SendOutcome;
	/**
	Is called when the request is withdrawn; it no longer waits.
	*/
	readonly onWithdrawn: (reason: WithdrawalReason, retryAfterMs: number) => void;
};

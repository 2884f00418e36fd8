import type {Waiter} from './waiter.ts';

/**
Requests that wait at a node.
*/
export type WaitingRoom = {
	/**
	Predicted milliseconds until a new request is sent, by those that wait before it; `roomInMs` is the time until an endpoint has room.
	*/
	readonly predictMs: (waiter: Pick<Waiter, 'pool' | 'className' | 'rank' | 'account'>, roomInMs: number) => number;
	/**
	Milliseconds after which a caller that is refused comes back.
	*/
	readonly planReturnMs: (waiter: Pick<Waiter, 'pool' | 'className' | 'account'>, roomInMs: number) => number;
	/**
	Lets a request wait; a full room withdraws it or another one at once. Returns what ends its waiting.
	*/
	readonly enter: (waiter: Waiter) => () => void;
	/**
	Looks for room soon; `incarnation` is where a request of this node has ended.
	*/
	readonly wake: (incarnation: string | undefined) => void;
	readonly count: () => number;
};

import type {RequestClass} from '@valvesaddle/types';
import type {ClassView} from '@valvesaddle/policy';
import type {QueuedRequest} from './queued-request.ts';

/**
Waiting requests of one pool, scheduled fairly between classes and client accounts.
*/
export type WaitingQueue<Value> = {
	/**
	Applies the classes and account weights of a configuration.
	*/
	readonly configure: (classes: readonly RequestClass[], accountWeights: ReadonlyMap<string, number>) => void;
	readonly push: (item: QueuedRequest<Value>) => void;
	/**
	Returns the next request of a class without removing it.
	*/
	readonly peek: (className: string) => QueuedRequest<Value> | undefined;
	/**
	First request of each of the accounts that are next in a class, of this many at most.
	*/
	readonly heads: (className: string, most: number) => ReadonlyArray<QueuedRequest<Value>>;
	/**
	The request of a class and account that would be served last.
	*/
	readonly last: (className: string, account: string) => QueuedRequest<Value> | undefined;
	readonly remove: (requestId: string) => QueuedRequest<Value> | undefined;
	/**
	Removes and returns all requests that have reached the maximum wait of their class.
	*/
	readonly takeExpired: (now: number) => ReadonlyArray<QueuedRequest<Value>>;
	/**
	Removes and returns all matching requests.
	*/
	readonly takeWhere: (isMatch: (item: QueuedRequest<Value>) => boolean) => ReadonlyArray<QueuedRequest<Value>>;
	/**
	Charges tokens to a class and account; a negative number refunds them.
	*/
	readonly charge: (className: string, account: string, tokens: number) => void;
	/**
	Records a grant to a class: all other waiting classes accrue floor credit, the granted class spends it.
	*/
	readonly recordGrant: (className: string, isFloor: boolean) => void;
	readonly views: () => readonly ClassView[];
	readonly waiting: (className: string) => number;
	readonly accountWaiting: (className: string, account: string) => number;
	/**
	Sum of the weights of the accounts that wait in the class, including the given one, divided by its own weight.
	*/
	readonly accountShares: (className: string, account: string) => number;
	readonly size: () => number;
};

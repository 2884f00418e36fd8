import type {RequestClass} from '@valvesaddle/types';
import type {ClassView} from '@valvesaddle/policy';
import type {QueuedRequest} from './queued-request.ts';

/**
The requests that wait for one pool, fair over class and client account.
*/
export type WaitingQueue<Value> = {
	/**
	Takes over the classes and account weights of a configuration.
	*/
	readonly configure: (classes: readonly RequestClass[], accountWeights: ReadonlyMap<string, number>) => void;
	readonly push: (item: QueuedRequest<Value>) => void;
	/**
	The request that goes next within a class; stays in the queue.
	*/
	readonly peek: (className: string) => QueuedRequest<Value> | undefined;
	readonly remove: (requestId: string) => QueuedRequest<Value> | undefined;
	/**
	Takes out all requests that wait longer than their class allows.
	*/
	readonly takeExpired: (now: number) => ReadonlyArray<QueuedRequest<Value>>;
	readonly takeWhere: (isWanted: (item: QueuedRequest<Value>) => boolean) => ReadonlyArray<QueuedRequest<Value>>;
	/**
	Charges tokens to a class and account; negative to give back.
	*/
	readonly charge: (className: string, account: string, tokens: number) => void;
	/**
	Books a grant under the floors: every other class that waits earns, a floor grant spends.
	*/
	readonly recordGrant: (className: string, isFloor: boolean) => void;
	readonly views: () => readonly ClassView[];
	readonly waiting: (className: string) => number;
	readonly accountWaiting: (className: string, account: string) => number;
	/**
	Sum of the weights of the accounts that wait in the class, the given one included, over its own.
	*/
	readonly accountShares: (className: string, account: string) => number;
	readonly size: () => number;
};

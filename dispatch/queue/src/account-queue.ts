import type {QueuedRequest} from './queued-request.ts';

/**
Requests of one client account in one class, oldest first.
*/
export type AccountQueue<Value> = {
	readonly account: string;
	readonly weight: number;
	readonly items: Array<QueuedRequest<Value>>;
	virtualTokens: number;
	/**
	Mirrors `items.length`, as the policy reads it.
	*/
	waiting: number;
};

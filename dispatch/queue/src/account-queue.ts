import type {QueuedRequest} from './queued-request.ts';

/**
Waiting requests of one client account in one class, oldest first.
*/
export type AccountQueue<Value> = {
	readonly account: string;
	readonly weight: number;
	readonly items: Array<QueuedRequest<Value>>;
	/**
	Tokens served, divided by the weight.
	*/
	virtualTokens: number;
	/**
	Equals `items.length`; `AccountView` requires it as a property.
	*/
	waiting: number;
};

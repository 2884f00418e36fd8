import type {Queued} from './queued.ts';

/**
Requests of one client account in one class, oldest first.
*/
export type AccountQueue<Value> = {
	readonly account: string;
	readonly weight: number;
	readonly items: Array<Queued<Value>>;
	virtualTokens: number;
	/**
	Mirrors `items.length`, as the policy reads it.
	*/
	waiting: number;
};

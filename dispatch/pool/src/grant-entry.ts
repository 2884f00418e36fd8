import type {MemoryClaim} from '@valvesaddle/policy';

/**
An open grant in the dispatcher's table.
*/
export type GrantEntry = {
	readonly grantId: string;
	readonly requestId: string;
	readonly node: string;
	readonly endpointId: string;
	readonly account: string;
	readonly className: string;
	readonly isUrgent: boolean;
	readonly grantedAt: number;
	/**
	Last report of this grant by the node, in milliseconds on the monotonic clock.
	*/
	readonly renewedAt: number;
	readonly tokens: number;
	/**
	Tokens charged to the account and class so far; charged in advance, from the expected length of the answer.
	*/
	readonly charged: number;
	/**
	Memory that it holds at its endpoint; `undefined` for a grant of an earlier dispatcher, whose prompt is not known.
	*/
	readonly memory?: MemoryClaim;
};

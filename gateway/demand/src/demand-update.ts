import type {PoolDemand} from './pool-demand.ts';

/**
What a linked node reports of demands with a load update.
*/
export type DemandUpdate = {
	readonly origin: string;
	/**
	Number of nodes that it reports for.
	*/
	readonly nodes: number;
	/**
	Whether it reports for a member of this relay, not for another relay and its members.
	*/
	readonly isMember: boolean;
	/**
	All pools that it tells, with the rows that have changed; `undefined` without news.
	*/
	readonly demands: readonly PoolDemand[] | undefined;
	/**
	Number of rows that could not be read.
	*/
	readonly unreadable: number;
};

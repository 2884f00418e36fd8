import type {PoolDemand} from './pool-demand.ts';

/**
What a linked node was told of demands.
*/
export type DemandLink = {
	/**
	What to tell it now, given the demands as they are: the rows that have changed by more than a tenth. Empty once there is nothing
	to tell any more; `undefined` without news.
	*/
	readonly take: (demands: readonly PoolDemand[]) => readonly PoolDemand[] | undefined;
	/**
	Whether the node may be told again.
	*/
	readonly isDue: () => boolean;
};

import type {Logger} from '@valvesaddle/logger';

/**
Options of `createDemandTable`.
*/
export type DemandTableOptions = {
	/**
	Length of the window in which demand is counted, in milliseconds.
	*/
	readonly windowMs: number;
	/**
	Number of known nodes in the fleet.
	*/
	readonly countNodes: () => number;
	/**
	Whether a linked node is a former process of a node that has started again.
	*/
	readonly isOutdated: (node: string) => boolean;
	readonly logger: Logger;
};

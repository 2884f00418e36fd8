import type {Placement} from './placement.ts';

/**
Estimates how many running requests use a shared part at an engine, by the placements of all nodes.
*/
export type PartUses = {
	/**
	Records a placement of a pool whose requests take this long, in milliseconds.
	*/
	readonly add: (placement: Placement, holdMs: number) => void;
	readonly count: (endpoint: string, part: string, holdMs: number) => number;
	readonly removeEndpoint: (endpoint: string) => void;
};

import type {LaneDemand} from './lane-demand.ts';
import type {Lanes} from './lanes.ts';

/**
Parts the endpoints of a pool by what its lanes are asked for.
*/
export type LaneModel = {
	/**
	Records tokens that have to be read for a prompt.
	*/
	readonly record: (isLong: boolean, tokens: number) => void;
	readonly getLanes: (endpoints: readonly string[], demand: LaneDemand) => Lanes;
	/**
	Lanes as they were parted last.
	*/
	readonly lastLanes: () => Lanes;
};

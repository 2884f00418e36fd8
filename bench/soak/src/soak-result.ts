import type {Breach} from './breach.ts';
import type {Observation} from './observation.ts';

/**
How a run ended.
*/
export type SoakResult = {
	readonly seed: number;
	/**
	Where the logs of the nodes are; removed when no promise was broken.
	*/
	readonly folder: string;
	readonly breaches: readonly Breach[];
	readonly observation: Observation;
};

import type {EndpointLoad} from './endpoint-load.ts';
import type {Placement} from './placement.ts';

/**
What one node tells its peers of its own work: loads that have changed, in full, and new placements. Endpoints are told by the
names of their incarnations.
*/
export type LoadUpdate = {
	readonly loads: ReadonlyArray<readonly [endpoint: string, load: EndpointLoad]>;
	readonly placements: readonly Placement[];
};

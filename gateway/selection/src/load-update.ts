import type {EndpointLoad} from './endpoint-load.ts';
import type {Placement} from './placement.ts';

/**
Load update that a node sends its peers: its own loads that have changed, in full, and new placements. Endpoints are identified by
their incarnations.
*/
export type LoadUpdate = {
	readonly loads: ReadonlyArray<readonly [endpoint: string, load: EndpointLoad]>;
	readonly placements: readonly Placement[];
};

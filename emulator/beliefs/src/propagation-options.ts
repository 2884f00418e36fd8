import type {GatewaySettings} from '@valvesaddle/settings';
import type {LoadUpdateSize} from './load-update-size.ts';
import type {LinkTraits} from './link-traits.ts';
import type {PropagationChange} from './propagation-change.ts';
import type {PropagationFault} from './propagation-fault.ts';

/**
Options of `runSpreading`. Times are in milliseconds.
*/
export type PropagationOptions = {
	readonly nodes: number;
	readonly dataCentres: readonly string[];
	readonly endpoints: number;
	readonly lengthMs: number;
	readonly seed: number;
	readonly links: LinkTraits;
	/**
	In the order of their times.
	*/
	readonly changes: readonly PropagationChange[];
	readonly faults: readonly PropagationFault[];
	readonly settings: Pick<GatewaySettings, 'store' | 'peers'>;
	/**
	Work that each node has to tell of with each message, as if it sent requests; none where it is not given.
	*/
	readonly loadUpdates?: LoadUpdateSize;
	/**
	Whether the nodes' lines are kept for the report.
	*/
	readonly isLogged?: boolean;
};

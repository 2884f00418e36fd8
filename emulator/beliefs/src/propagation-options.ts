import type {GatewaySettings} from '@valvesaddle/settings';
import type {LoadUpdateSize} from './load-update-size.ts';
import type {LinkTraits} from './link-traits.ts';
import type {PropagationChange} from './propagation-change.ts';
import type {PropagationFault} from './propagation-fault.ts';

/**
Options of `runPropagation`. Times are in milliseconds.
*/
export type PropagationOptions = {
	readonly nodes: number;
	readonly dataCentres: readonly string[];
	readonly endpoints: number;
	readonly lengthMs: number;
	readonly seed: number;
	readonly links: LinkTraits;
	/**
	Sorted by time.
	*/
	readonly changes: readonly PropagationChange[];
	readonly faults: readonly PropagationFault[];
	readonly settings: Pick<GatewaySettings, 'store' | 'peers'>;
	/**
	Size of the load updates that each node sends, as if it had requests; none if omitted.
	*/
	readonly loadUpdates?: LoadUpdateSize;
	/**
	Whether the report contains the nodes' log lines.
	*/
	readonly isLogged?: boolean;
};

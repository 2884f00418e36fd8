import type {GatewaySettings} from '@valvesaddle/settings';
import type {LinkTraits} from './link-traits.ts';
import type {SpreadingChange} from './spreading-change.ts';
import type {SpreadingFault} from './spreading-fault.ts';

/**
Options of `runSpreading`. Times are in milliseconds.
*/
export type SpreadingOptions = {
	readonly nodes: number;
	readonly dataCentres: readonly string[];
	readonly endpoints: number;
	readonly lengthMs: number;
	readonly seed: number;
	readonly links: LinkTraits;
	/**
	In the order of their times.
	*/
	readonly changes: readonly SpreadingChange[];
	readonly faults: readonly SpreadingFault[];
	readonly settings: Pick<GatewaySettings, 'store' | 'peers'>;
	/**
	Whether the nodes' lines are kept for the report.
	*/
	readonly isLogged?: boolean;
};

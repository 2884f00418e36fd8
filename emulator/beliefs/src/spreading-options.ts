import type {GatewaySettings} from '@valvesaddle/settings';
import type {EmulatedWork} from './emulated-work.ts';
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
	Work that each node has to tell of with each message, as if it sent requests; none where it is not given.
	*/
	readonly work?: EmulatedWork;
	/**
	Whether the nodes' lines are kept for the report.
	*/
	readonly isLogged?: boolean;
};

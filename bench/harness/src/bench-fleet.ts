import type {Configuration} from '@valvesaddle/types';
import type {BenchNode} from './bench-node.ts';
import type {StandInsAddresses} from './stand-ins-addresses.ts';
import type {StartedProcess} from './started-process.ts';

/**
Router nodes and stand-ins, each a process of its own.
*/
export type BenchFleet = {
	readonly nodes: readonly BenchNode[];
	readonly standIns: StandInsAddresses;
	readonly standInsProcess: StartedProcess;
	/**
	Applies a configuration; resolves to the revision.
	*/
	readonly apply: (configuration: Configuration) => Promise<number>;
	readonly close: () => Promise<void>;
};

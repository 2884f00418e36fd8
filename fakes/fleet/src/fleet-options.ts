import type {FakeEngineOptions} from '@valvesaddle/fake-engine';
import type {Configuration} from '@valvesaddle/types';

/**
Options of `startFleet`.
*/
export type FleetOptions = {
	/**
	Router nodes to start.
	*/
	readonly nodes: number;
	/**
	Engines of the pool `drafting`.
	*/
	readonly engines: readonly FakeEngineOptions[];
	/**
	Changes the configuration before it is applied.
	*/
	readonly configure?: (configuration: Configuration) => Configuration;
	/**
	Settings to lay over the defaults of every node, by table.
	*/
	readonly settings?: Readonly<Record<string, Readonly<Record<string, unknown>>>>;
};

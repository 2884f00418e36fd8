import type {FakeEngineOptions} from '@valvesaddle/fake-engine';

/**
Options of `startBenchFleet`.
*/
export type BenchFleetOptions = {
	readonly nodes: number;
	readonly engines: readonly FakeEngineOptions[];
	/**
	Settings to lay over those of every node, by table.
	*/
	readonly settings?: Readonly<Record<string, Readonly<Record<string, unknown>>>>;
	/**
	StatsD address that the nodes send their counters to.
	*/
	readonly statsd?: string;
};

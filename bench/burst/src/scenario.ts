import type {BenchFleet} from '@valvesaddle/bench-harness';
import type {FakeEngineOptions} from '@valvesaddle/fake-engine';
import type {LoadPlan} from '@valvesaddle/load';

/**
One row of the comparison.
*/
export type Scenario = {
	readonly name: string;
	readonly engines: readonly FakeEngineOptions[];
	readonly plan: LoadPlan;
	/**
	What goes wrong while the load runs; starts with it.
	*/
	readonly disturb?: (fleet: BenchFleet) => Promise<void>;
};

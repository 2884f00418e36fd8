import type {FakeServer} from '@valvesaddle/fake-http';
import type {EngineCounts} from './engine-counts.ts';
import type {EngineFault} from './engine-fault.ts';

/**
Stand-in for a model engine.
*/
export type FakeEngine = FakeServer & {
	readonly setFault: (fault: EngineFault | undefined) => void;
	/**
	Makes every step so many times longer.
	*/
	readonly setSlowness: (factor: number) => void;
	/**
	Sets the engine's own word that it is leaving.
	*/
	readonly setLeaving: (isLeaving: boolean) => void;
	/**
	Breaks all answers under way, as a crash does.
	*/
	readonly crash: () => void;
	readonly counts: () => EngineCounts;
	/**
	Requests that run or wait now.
	*/
	readonly load: () => number;
};

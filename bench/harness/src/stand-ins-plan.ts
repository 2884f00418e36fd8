import type {FakeEngineOptions} from '@valvesaddle/fake-engine';

/**
What a process of stand-ins runs.
*/
export type StandInsPlan = {
	readonly engines: readonly FakeEngineOptions[];
};

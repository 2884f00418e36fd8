import type {FakeServer} from '@valvesaddle/fake-http';
import type {ServiceFault} from './service-fault.ts';

/**
Stand-in for a plain service whose calls may not be repeated.
*/
export type FakeService = FakeServer & {
	/**
	Fault for every call until it is set to `undefined`.
	*/
	readonly setFault: (fault: ServiceFault | undefined) => void;
	readonly setDelay: (milliseconds: number) => void;
	/**
	How often each body had its effect.
	*/
	readonly runs: () => ReadonlyMap<string, number>;
};

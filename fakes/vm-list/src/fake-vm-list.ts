import type {FakeServer} from '@valvesaddle/fake-http';
import type {Vm} from '@valvesaddle/types';

/**
Stand-in for the platform's lagging list of VMs.
*/
export type FakeVmList = FakeServer & {
	/**
	Replaces the list; readers see it after the lag.
	*/
	readonly set: (vms: readonly Vm[]) => void;
	readonly setLag: (milliseconds: number) => void;
};

import type {AppliedFault} from './applied-fault.ts';

/**
What a fault does when it begins and when it ends.
*/
export type FaultHandler = {
	readonly begin: (fault: AppliedFault) => void;
	readonly end?: (fault: AppliedFault) => void;
};

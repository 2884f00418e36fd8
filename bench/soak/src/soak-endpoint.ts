import type {FaultKind} from './fault-kind.ts';

/**
An endpoint under the soak's control, new for each place that one leaves.
*/
export type SoakEndpoint = {
	readonly id: string;
	readonly address: string;
	readonly setFault: (kind: FaultKind | undefined) => void;
	/**
	Names a limit of requests per second in all answers, or none.
	*/
	readonly setLimit: (perSecond: number | undefined) => void;
	readonly close: () => Promise<void>;
};

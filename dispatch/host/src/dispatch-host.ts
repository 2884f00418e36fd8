import type {DispatchPort} from '@valvesaddle/messages';
import type {DutyIndex} from '@valvesaddle/ownership';
import type {PoolStatus} from '@valvesaddle/pool';

/**
Carries the dispatch duties of a node: opens the dispatcher of a pool when first asked, closes it when the duty moves.
*/
export type DispatchHost = DispatchPort & {
	readonly dropNode: (node: string) => void;
	/**
	Hands a new configuration to the open dispatchers.
	*/
	readonly configure: () => void;
	/**
	The node that this one takes for the owner of a duty.
	*/
	readonly findOwner: (duty: string, skipped: readonly string[]) => string | undefined;
	/**
	Duties under the configuration in force.
	*/
	readonly duties: () => DutyIndex;
	readonly status: () => readonly PoolStatus[];
	readonly close: () => void;
};

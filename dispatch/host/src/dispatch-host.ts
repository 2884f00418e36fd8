import type {DispatchPort} from '@valvesaddle/messages';
import type {DutyIndex} from '@valvesaddle/ownership';
import type {PoolStatus} from '@valvesaddle/pool';

/**
Runs the dispatchers of a node: opens one on the first request for its duty and closes it when the duty moves.
*/
export type DispatchHost = DispatchPort & {
	/**
	Removes the waiting requests of a lost node.
	*/
	readonly dropNode: (node: string) => void;
	/**
	Applies the current configuration to the open dispatchers.
	*/
	readonly configure: () => void;
	/**
	Finds the owner of a duty in this node's view, without the nodes in `skipped`.
	*/
	readonly findOwner: (duty: string, skipped: readonly string[]) => string | undefined;
	/**
	Index of the duties under the current configuration.
	*/
	readonly duties: () => DutyIndex;
	readonly status: () => readonly PoolStatus[];
	readonly close: () => void;
};

import type {ValvesaddleError} from '@valvesaddle/error';
import type {NodeState} from './node-state.ts';

/**
Tracks the state of the node, and checks the links to a few neighbours.
*/
export type Health = {
	readonly start: () => void;
	readonly state: () => NodeState;
	readonly markDraining: () => void;
	/**
	Refuses new requests; called when the grace period of a drain ends.
	*/
	readonly refuseNew: () => void;
	/**
	The error with which new requests are refused; `undefined` when they are accepted.
	*/
	readonly refusal: () => ValvesaddleError | undefined;
	readonly close: () => void;
};

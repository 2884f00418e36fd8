import type {ValvesaddleError} from '@valvesaddle/error';
import type {NodeState} from './node-state.ts';

/**
Knows the state of the node and keeps in touch with a few neighbours.
*/
export type Health = {
	readonly start: () => void;
	readonly state: () => NodeState;
	readonly markDraining: () => void;
	/**
	Called when the grace time of a drain is over.
	*/
	readonly refuseNew: () => void;
	/**
	Why new requests are refused at the moment; `undefined` when they are not.
	*/
	readonly refusal: () => ValvesaddleError | undefined;
	readonly close: () => void;
};

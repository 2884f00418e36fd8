import type {ReplicaOrder} from '@valvesaddle/duty-types';
import type {OrderInput} from './order-input.ts';

/**
What was ordered of a pool, and what has to be ordered next.
*/
export type OrderPlanner = {
	/**
	Orders that bring what serves to the wanted number; those that bring more come first.
	*/
	readonly list: (question: OrderInput) => readonly ReplicaOrder[];
	/**
	Notes that an order was accepted.
	*/
	readonly markAccepted: (order: ReplicaOrder) => void;
	/**
	Notes that nobody can say what stands: the order may have been carried out, or be later.
	*/
	readonly markUnknown: (order: ReplicaOrder) => void;
	/**
	Notes that a data centre has no replicas of the kind at the moment.
	*/
	readonly markUnavailable: (order: ReplicaOrder) => void;
};

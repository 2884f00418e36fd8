import type {ReplicaOrder} from '@valvesaddle/duty-types';
import type {OrderInput} from './order-input.ts';

/**
Plans the orders for a pool's replicas.
*/
export type OrderPlanner = {
	/**
	Orders that are due to reach the target; in each data centre the one for spot replicas comes first.
	*/
	readonly list: (input: OrderInput) => readonly ReplicaOrder[];
	/**
	Records that an order was accepted.
	*/
	readonly markAccepted: (order: ReplicaOrder) => void;
	/**
	Records that an order had no answer and may have been carried out, or be carried out later; it is sent again.
	*/
	readonly markUnknown: (order: ReplicaOrder) => void;
	/**
	Records that a data centre has no replicas of the kind at present; only spot orders are affected.
	*/
	readonly markUnavailable: (order: ReplicaOrder) => void;
};

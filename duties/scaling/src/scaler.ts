/**
Orders replicas as the load of the pools requires.
*/
export type Scaler = {
	/**
	Sends the orders that are due; calls must not overlap.
	*/
	readonly update: () => Promise<void>;
	/**
	Discards all state; called when this node acquires the duty, since another node may have sent orders.
	*/
	readonly start: () => void;
};

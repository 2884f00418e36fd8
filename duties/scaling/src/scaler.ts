/**
Orders of replicas, as the work asks for.
*/
export type Scaler = {
	/**
	Gives the orders that are due; one call at a time.
	*/
	readonly update: () => Promise<void>;
	/**
	Begins anew: another node held the duty before.
	*/
	readonly start: () => void;
};

/**
A request that is open at one endpoint.
*/
export type Attempt = {
	/**
	Aborts the attempt; none of its callbacks is called after that.
	*/
	readonly end: (outcome: 'failed' | 'cancelled') => void;
};

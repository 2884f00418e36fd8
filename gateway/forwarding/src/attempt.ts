/**
A request on its way to one endpoint.
*/
export type Attempt = {
	/**
	Gives the attempt up; it tells nothing more.
	*/
	readonly end: (outcome: 'failed' | 'cancelled') => void;
};

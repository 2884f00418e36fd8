/**
A request that is being forwarded.
*/
export type ForwardTask = {
	/**
	Aborts the request, since its caller has disconnected.
	*/
	readonly cancel: () => void;
};

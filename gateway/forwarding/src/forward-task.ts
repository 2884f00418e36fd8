/**
A request on its way.
*/
export type ForwardTask = {
	/**
	The caller has gone: stops all work for it.
	*/
	readonly cancel: () => void;
};

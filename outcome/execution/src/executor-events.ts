/**
What the executor tells.
*/
export type ExecutorEvents = {
	/**
	The last open request ended.
	*/
	readonly idle: undefined;
};

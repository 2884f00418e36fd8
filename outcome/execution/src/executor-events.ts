/**
Events that an executor emits, without data.
*/
export type ExecutorEvents = {
	/**
	The last open request ended.
	*/
	readonly idle: undefined;
};

/**
The only thread of an emulated node.
*/
export type NodeThread = {
	/**
	Handles what has arrived at the node: now, or when it no longer stands still.
	*/
	readonly run: (handler: () => void) => void;
	/**
	Runs a timer of the node: now, or when it no longer stands still, before what has arrived meanwhile.
	*/
	readonly runTimer: (handler: () => void) => void;
	/**
	Makes the node stand still for some milliseconds.
	*/
	readonly pause: (milliseconds: number) => void;
};

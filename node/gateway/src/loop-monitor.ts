/**
Watches how late the event loop is.
*/
export type LoopMonitor = {
	/**
	Called at each tick of a period; records a tick that comes late.
	*/
	readonly recordTick: () => void;
};

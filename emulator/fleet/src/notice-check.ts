/**
Checks that nodes respect the cooldowns and the draining signal of an engine.
*/
export type NoticeCheck = {
	/**
	Records that the engine requested a cooldown from a node, in milliseconds.
	*/
	readonly recordCooldown: (node: string, milliseconds: number) => void;
	/**
	Records that the engine signalled to a node that it drains.
	*/
	readonly recordDraining: (node: string) => void;
	readonly recordArrival: (node: string) => void;
	/**
	Counts cooldowns in which a node sent too many requests, and requests that arrived too long after the draining signal.
	*/
	readonly countBrokenNotices: () => number;
};

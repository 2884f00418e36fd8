/**
Checks that nodes heed what an engine has said of itself.
*/
export type NoticeCheck = {
	/**
	The engine asked a node for no requests for so many milliseconds.
	*/
	readonly recordCooldown: (node: string, milliseconds: number) => void;
	/**
	The engine told a node that it leaves.
	*/
	readonly recordDraining: (node: string) => void;
	readonly recordArrival: (node: string) => void;
	/**
	Pauses with more requests than a node may send, and requests that came too late after a leave.
	*/
	readonly countBrokenNotices: () => number;
};

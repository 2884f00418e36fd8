/**
The HTTP front of a gateway node.
*/
export type Front = {
	readonly listen: () => Promise<string>;
	/**
	Takes over new limits.
	*/
	readonly configure: () => void;
	/**
	Takes no new connections, closes idle ones, and resolves when the others have ended.
	*/
	readonly drain: () => Promise<void>;
	/**
	Ends every connection at once.
	*/
	readonly closeNow: () => void;
};

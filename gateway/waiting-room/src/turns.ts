/**
Which endpoints' free places this node may use now.
*/
export type Turns = {
	/**
	Records that a request of this node has ended at an incarnation.
	*/
	readonly recordFreed: (incarnation: string) => void;
	readonly hasTurn: (incarnation: string) => boolean;
	/**
	Records that a place of an incarnation was used.
	*/
	readonly take: (incarnation: string) => void;
};

/**
What a client account uses of a waiting room, as a share of the room: the larger one of its requests and their bytes.
*/
export type AccountUse = {
	readonly account: string;
	readonly share: number;
	/**
	Whether some of its requests may be dropped.
	*/
	readonly hasDroppable: boolean;
};

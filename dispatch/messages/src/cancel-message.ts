/**
Takes a waiting request back.
*/
export type CancelMessage = {
	readonly pool: string;
	readonly requestId: string;
};

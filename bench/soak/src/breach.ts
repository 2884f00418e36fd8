/**
A promise that was broken.
*/
export type Breach = {
	readonly promise: string;
	/**
	What was seen, with the ids that lead to it in the logs.
	*/
	readonly detail: string;
};

/**
What a node has to tell of with each message on its work.
*/
export type LoadUpdateSize = {
	/**
	Endpoints at which its work has changed.
	*/
	readonly loads: number;
	/**
	Prompts that it has placed.
	*/
	readonly placements: number;
};

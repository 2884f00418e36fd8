/**
A node's word that it was in touch with the store, and that nothing may have lapsed there.
*/
export type Confirmation = {
	/**
	Node that was in touch, and the number of its word, which rises.
	*/
	readonly by: string;
	readonly number: number;
};

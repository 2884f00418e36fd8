/**
Allows a client account to use a pool with some request classes.
*/
export type Binding = {
	readonly account: string;
	readonly pool: string;
	/**
	Allowed classes; the first is the default.
	*/
	readonly classes: readonly string[];
};

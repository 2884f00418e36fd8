/**
Lets a client account use a pool under some classes.
*/
export type Binding = {
	readonly account: string;
	readonly pool: string;
	/**
	Allowed classes; the first is the default.
	*/
	readonly classes: readonly string[];
};

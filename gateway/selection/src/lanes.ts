/**
Endpoints of a pool parted by the length of the prompts that they take.
*/
export type Lanes = {
	readonly long: ReadonlySet<string>;
	readonly short: ReadonlySet<string>;
};

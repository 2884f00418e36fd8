/**
A retry budget: each request adds a fraction of a retry to the balance, each retry subtracts one.
*/
export type Budget = {
	readonly balance: number;
};

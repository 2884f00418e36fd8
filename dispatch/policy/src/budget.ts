/**
A budget of retries: each request earns a part of one, each retry spends one.
*/
export type Budget = {
	readonly balance: number;
};

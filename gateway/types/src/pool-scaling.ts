/**
Bounds and prices for scaling the replicas of a pool.
*/
export type PoolScaling = {
	/**
	Minimum number of replicas in each data centre, on-demand and spot together; `most` is the maximum.
	*/
	readonly least: number;
	readonly most: number;
	/**
	Startup time of a new replica, in milliseconds.
	*/
	readonly bootMs: number;
	/**
	Price of a spot replica relative to an on-demand one; `undefined` when there are no spot replicas.
	*/
	readonly spotPrice: number | undefined;
	/**
	Price per second of an on-demand replica, by data centre; replicas run only in these.
	*/
	readonly prices: Readonly<Record<string, number>>;
};

/**
What an operator allows and pays for the number of a pool's replicas.
*/
export type PoolScaling = {
	/**
	Replicas of both kinds together in each data centre.
	*/
	readonly least: number;
	readonly most: number;
	/**
	Time until a new replica serves, in milliseconds.
	*/
	readonly bootMs: number;
	/**
	Price of a spot replica as a part of that of a usual one; `undefined` when there are none.
	*/
	readonly spotPrice: number | undefined;
	/**
	Price of a usual replica for a second, by data centre; replicas may run in these.
	*/
	readonly prices: Readonly<Record<string, number>>;
};

type PoolCounts = {
	/**
	Endpoints in use, ejected ones included.
	*/
	readonly endpoints: number;
	readonly ejected: number;
	/**
	Maximum share of the pool that may be ejected at once.
	*/
	readonly maximumShare: number;
};

/**
 Counts the endpoints of a pool that may be ejected besides those that are.

 @example
 countEjectable({endpoints: 10, ejected: 1, maximumShare: 0.3}); // 2
 */
export function countEjectable({endpoints, ejected, maximumShare}: PoolCounts): number {
	return Math.max(0, Math.floor(endpoints * maximumShare) - ejected);
}

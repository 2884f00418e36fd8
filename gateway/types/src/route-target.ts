/**
A service pool that a route sends to, with its share of the route's traffic.
*/
export type RouteTarget = {
	readonly pool: string;
	readonly weight: number;
};

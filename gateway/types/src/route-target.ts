/**
A service pool of a route, with the weight of its traffic share.
*/
export type RouteTarget = {
	readonly pool: string;
	readonly weight: number;
};

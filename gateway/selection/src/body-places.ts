import type {KnownEndpoint} from './known-endpoint.ts';

/**
Places for large bodies that this node has open at each endpoint.
*/
export type BodyPlaces = {
	/**
	Endpoints that may get a body: those with the fewest large ones, if it is large, and none at which all places are taken.
	*/
	readonly narrow: (candidates: readonly KnownEndpoint[], bytes: number) => readonly KnownEndpoint[];
	/**
	Takes a place for a body if it is large; returns a function that gives it back.
	*/
	readonly take: (incarnation: string, bytes: number) => () => void;
};

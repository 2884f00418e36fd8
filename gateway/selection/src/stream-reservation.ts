import type {KnownEndpoint} from './known-endpoint.ts';

type ReservationView = {
	/**
	Ready endpoints of the pool.
	*/
	readonly ready: readonly KnownEndpoint[];
	/**
	Those of them that may get the request.
	*/
	readonly candidates: readonly KnownEndpoint[];
	/**
	Pause objective of the request, in milliseconds; 0 for none.
	*/
	readonly pauseObjectiveMs: number;
	/**
	Prefill speed of an endpoint relative to the pool's median.
	*/
	readonly getSpeedFactor: (incarnation: string) => number;
	/**
	Whether the request can wait for another endpoint.
	*/
	readonly canWait: boolean;
};

/**
Endpoints of one pool that are reserved for the streams with its shortest pause objective.
*/
export type StreamReservation = {
	/**
	Sets the shortest pause objective of the pool's routes, in milliseconds; 0 if none has one.
	*/
	readonly setPauseObjective: (milliseconds: number) => void;
	/**
	To be called when the ready endpoints change.
	*/
	readonly markChanged: () => void;
	/**
	Whether a stream with this pause objective is one that endpoints are reserved for.
	*/
	readonly isProtected: (pauseObjectiveMs: number) => boolean;
	/**
	Candidates that a request may use: for a protected stream reserved endpoints with a free slot, for another request those that are
	not reserved. Without these all candidates, unless the request can wait for an endpoint that is not reserved.
	*/
	readonly listAllowed: (view: ReservationView) => readonly KnownEndpoint[];
};

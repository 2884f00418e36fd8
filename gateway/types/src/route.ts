import type {RouteKind} from './route-kind.ts';
import type {RouteTarget} from './route-target.ts';

/**
A rule that maps a host and a path prefix to service pools and sets the service level.
*/
export type Route = {
	readonly name: string;
	readonly host: string;
	/**
	Begins and ends with a slash.
	*/
	readonly prefix: string;
	readonly kind: RouteKind;
	/**
	Longest time that a caller is kept waiting, in milliseconds.
	*/
	readonly timeoutMs: number;
	/**
	Time within which an answer earns its full credit, in milliseconds. For a stream, the time to its first event.
	*/
	readonly latencyObjectiveMs: number;
	/**
	Rank; 0 is the most urgent.
	*/
	readonly priority: number;
	readonly targets: readonly RouteTarget[];
	/**
	Largest number of endpoints to which one request may be sent.
	*/
	readonly maximumAttempts: number;
	/**
	Whether it needs no API key.
	*/
	readonly isPublic: boolean;
	/**
	Whether a stream may be taken up elsewhere after its last event.
	*/
	readonly isResumable: boolean;
	/**
	Longest pause between events that is still in time, in milliseconds; 0 when none is set.
	*/
	readonly pauseObjectiveMs: number;
};

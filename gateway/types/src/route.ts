import type {RouteKind} from './route-kind.ts';
import type {RouteTarget} from './route-target.ts';

/**
A rule that maps a host and a path prefix to service pools and sets the service level.
*/
export type Route = {
	readonly name: string;
	readonly host: string;
	/**
	Path prefix; starts and ends with a slash.
	*/
	readonly prefix: string;
	readonly kind: RouteKind;
	/**
	Request timeout, in milliseconds; a caller's shorter timeout takes precedence.
	*/
	readonly timeoutMs: number;
	/**
	Target for the time to the answer, in milliseconds; for a stream, to its first event.
	*/
	readonly latencyObjectiveMs: number;
	/**
	0 is the most urgent.
	*/
	readonly priority: number;
	readonly targets: readonly RouteTarget[];
	/**
	Maximum number of endpoints that one request is sent to.
	*/
	readonly maximumAttempts: number;
	/**
	Whether requests need no API key.
	*/
	readonly isPublic: boolean;
	/**
	Whether another endpoint may resume a stream after its last event.
	*/
	readonly isResumable: boolean;
	/**
	Target for the longest pause between events, in milliseconds; 0 for none.
	*/
	readonly pauseObjectiveMs: number;
};

import type {Route} from '@valvesaddle/gateway-types';
import {isRetryable} from './is-retryable.ts';

/**
State of a request after a failed attempt.
*/
type RetryState = {
	readonly route: Route;
	/**
	Whether the failed endpoint may have run the request.
	*/
	readonly mayHaveRun: boolean;
	/**
	Number of endpoints that may have run the request.
	*/
	readonly runs: number;
};

/**
 Whether a request may be sent to another endpoint. A request that may have run is sent again only if it is retryable, and no
 request is run more often than its route allows.

 @example
 canRetry({route: {...route, kind: 'unsafe'}, mayHaveRun: true, runs: 1}); // false
 */
export function canRetry({route, mayHaveRun, runs}: RetryState): boolean {
	return runs < Math.max(1, route.maximumAttempts) && (!mayHaveRun || isRetryable(route));
}

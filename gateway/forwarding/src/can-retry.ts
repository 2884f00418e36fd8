import type {Route} from '@valvesaddle/gateway-types';
import {isRetryable} from './is-retryable.ts';

/**
What has become of a request so far.
*/
type RetryState = {
	readonly route: Route;
	/**
	Whether the endpoint that failed may have begun to run it.
	*/
	readonly mayHaveRun: boolean;
	/**
	Endpoints that may have run it.
	*/
	readonly runs: number;
};

/**
 Tells whether a request may be sent to another endpoint: never one that may have run and is not repeatable, and no more
 often than its route allows.

 @example
 canRepeat({route: {...route, kind: 'unsafe'}, mayHaveRun: true, runs: 1}); // false
 */
export function canRetry({route, mayHaveRun, runs}: RetryState): boolean {
	return runs < Math.max(1, route.maximumAttempts) && (!mayHaveRun || isRetryable(route));
}

import type {Route} from '@valvesaddle/gateway-types';

/**
 Whether a request that may have run may be run again: safe requests and resumable streams.

 @example
 isRetryable({...route, kind: 'unsafe'}); // false
 */
export function isRetryable(route: Route): boolean {
	return route.kind === 'safe' || (route.kind === 'stream' && route.isResumable);
}

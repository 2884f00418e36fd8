import type {Route} from '@valvesaddle/gateway-types';

/**
 Tells whether a request that may have run may run again: safe ones, and streams that can be taken up elsewhere.

 @example
 isRepeatable({...route, kind: 'unsafe'}); // false
 */
export function isRetryable(route: Route): boolean {
	return route.kind === 'safe' || (route.kind === 'stream' && route.isResumable);
}

import type {ValvesaddleError} from '@valvesaddle/error';

/**
Final refusals and failures of one request, with when its caller may come back.
*/
export type Refusals = {
	/**
	No endpoint is left after so many tries.
	*/
	readonly buildNoEndpoint: (tries: number) => ValvesaddleError;
	/**
	The request would be late.
	*/
	readonly buildOverloaded: (predictedMs: number, retryAfterMs: number) => ValvesaddleError;
	/**
	The time of the route or of the caller is over.
	*/
	readonly buildTimeout: (waitMs: number, wasSent: boolean) => ValvesaddleError;
	/**
	The last endpoint failed, and no other may be tried.
	*/
	readonly buildFailure: (reason: string, wasSent: boolean) => ValvesaddleError;
};

import type {ValvesaddleError} from '@valvesaddle/error';

/**
Builds the final error of one request, with its Retry-After.
*/
export type Refusals = {
	/**
	No endpoint is available after this number of attempts.
	*/
	readonly buildNoEndpoint: (attempts: number) => ValvesaddleError;
	/**
	Endpoints crashed while they ran the request; it was not sent.
	*/
	readonly buildQuarantined: () => ValvesaddleError;
	/**
	The request would miss its latency objective.
	*/
	readonly buildOverloaded: (predictedMs: number, retryAfterMs: number) => ValvesaddleError;
	/**
	The timeout of the route or of the caller has expired.
	*/
	readonly buildTimeout: (waitMs: number, wasSent: boolean) => ValvesaddleError;
	/**
	The node stops before the request has its answer.
	*/
	readonly buildStopped: (wasSent: boolean) => ValvesaddleError;
	/**
	The last attempt failed, and the request may not be retried.
	*/
	readonly buildFailure: (reason: string, wasSent: boolean) => ValvesaddleError;
};

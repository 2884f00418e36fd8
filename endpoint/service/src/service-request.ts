import type {TraceCarrier} from '@valvesaddle/tracing';

/**
A call to a plain service.
*/
export type ServiceRequest = {
	readonly url: string;
	readonly method: string;
	/**
	Path below the service's base URL, with the query.
	*/
	readonly path: string;
	readonly contentType: string;
	readonly body: string;
	/**
	Forwarded so that the service can detect a repeated call.
	*/
	readonly idempotencyKey: string | undefined;
	readonly trace: TraceCarrier;
};

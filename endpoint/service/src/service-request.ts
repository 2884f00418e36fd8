import type {TraceCarrier} from '@valvesaddle/tracing';

/**
A call of a plain service.
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
	Passed on so that the service can recognise a repetition itself.
	*/
	readonly idempotencyKey: string | undefined;
	readonly trace: TraceCarrier;
};

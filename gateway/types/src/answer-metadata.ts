/**
Decoded status and headers of an endpoint's answer.
*/
export type AnswerMetadata = {
	/**
	Request id echoed by the endpoint.
	*/
	readonly requestId: string | undefined;
	/**
	Whether the endpoint signed the answer.
	*/
	readonly isSigned: boolean;
	/**
	Whether the endpoint declares that it did not run the request and will not.
	*/
	readonly isNotRun: boolean;
	/**
	Whether the endpoint states the media type of an event stream.
	*/
	readonly isEventStream: boolean;
	/**
	Whether the body has a content encoding other than `identity`, or a transfer coding other than `chunked`.
	*/
	readonly isEncoded: boolean;
	/**
	Whether a length or chunks mark the end of the body; without them it ends with its connection.
	*/
	readonly isFramed: boolean;
	/**
	Whether another instance answers at the address.
	*/
	readonly isMisdirected: boolean;
	/**
	Cooldown that the endpoint requests with `Retry-After`, in milliseconds; `undefined` when there is none.
	*/
	readonly retryAfterMs: number | undefined;
	/**
	Whether the endpoint is draining and accepts no new requests.
	*/
	readonly isLeaving: boolean;
	/**
	Requests per second that the endpoint accepts from all nodes together; `undefined` when it names no limit.
	*/
	readonly requestLimit: number | 'invalid' | undefined;
};

/**
What the head of an endpoint's answer says, decoded.
*/
export type AnswerMetadata = {
	/**
	Request that it answers, as the endpoint echoes it.
	*/
	readonly requestId: string | undefined;
	/**
	Whether the endpoint vouches for the body.
	*/
	readonly isSigned: boolean;
	/**
	Whether the endpoint says that it did not and will not run the request.
	*/
	readonly isNotRun: boolean;
	readonly isEventStream: boolean;
	/**
	Whether something on the way has encoded the body.
	*/
	readonly isEncoded: boolean;
	/**
	Whether another instance answers at the address.
	*/
	readonly isMisdirected: boolean;
	/**
	Time for which the endpoint asks for no more requests, in milliseconds; `undefined` when it does not ask.
	*/
	readonly retryAfterMs: number | undefined;
	/**
	Whether the endpoint says that it is leaving and takes no new requests.
	*/
	readonly isLeaving: boolean;
};

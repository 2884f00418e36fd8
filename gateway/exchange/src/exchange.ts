/**
An open HTTP request to an endpoint.
*/
export type Exchange = {
	/**
	Closes the connection, so that the endpoint stops. The listener is not called again.
	*/
	readonly abort: () => void;
	readonly resume: () => void;
};

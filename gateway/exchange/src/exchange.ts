/**
An exchange that is under way.
*/
export type Exchange = {
	/**
	Closes the connection, so that the endpoint stops. The listener is told nothing more.
	*/
	readonly abort: () => void;
	readonly resume: () => void;
};

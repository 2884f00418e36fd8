/**
Room for the body of a request.
*/
export type BodyRoom = {
	/**
	Holds an announced body, after waiting for room if need be; throws `ERR_VALVESADDLE_BUFFERS_FULL` without it.
	*/
	readonly acquire: (bytes: number) => Promise<void>;
	/**
	Holds a body of unknown length up to this many bytes; throws as above.
	*/
	readonly grow: (bytes: number) => void;
};

/**
Tracks the connections of an HTTP server by the answers that are still open on them, which Node's own count of idle connections does
not: it counts a connection as idle as soon as its response has been ended, with bytes still waiting to be sent.
*/
export type ConnectionTracker = {
	/**
	Number of answers that were begun and not yet handed to the operating system completely.
	*/
	readonly countOpen: () => number;
	/**
	Stops listening and closes each connection once no answer is open on it; resolves when all are closed. A connection with
	an open answer is never closed, however slowly its caller reads. The server has to refuse requests by then: one that
	arrives on an open connection is still handled.
	*/
	readonly drain: () => Promise<void>;
};

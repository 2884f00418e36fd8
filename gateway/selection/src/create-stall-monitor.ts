import {createStallDetector} from './create-stall-detector.ts';
import type {LoadTable} from './load-table.ts';
import type {StallMonitor} from './stall-monitor.ts';

/**
Time without chunks after which an endpoint counts as stalled: a few times the longest pause that prefill causes, within bounds.
*/
const timeoutPauses = 2.5;
const minimumStallMs = 400;
const maximumStallMs = 1000;
/**
Multiple of the predicted time to the first chunk after which it is overdue.
*/
const overdueFactor = 2;

/**
Interval between checks: a small part of the shortest stall timeout.
*/
const checkIntervalMs = 80;

type StallMonitorOptions = {
	readonly loads: Pick<LoadTable, 'setStallCounts' | 'listStalled'>;
	/**
	Longest pause that prefill causes at the endpoints of a pool, in milliseconds.
	*/
	readonly measureLongestPauseMs: (pool: string) => number;
	readonly onStalled: (endpoint: string) => void;
};

/**
 Creates the stall monitor. When an endpoint is stalled for all nodes that expect chunks from it, `onStalled` and the handlers of
 this node's overdue requests there are called. A request that is in time, or whose caller reads slowly, may still be answered.

 @example
 const monitor = createStallMonitor({loads, measureLongestPauseMs: () => 200, onStalled() {}});
 monitor.update(endpoints.values(), performance.now());
 */
export function createStallMonitor({loads, measureLongestPauseMs, onStalled}: StallMonitorOptions): StallMonitor {
	const detector = createStallDetector();
	const handlers = new Map<string, Map<symbol, () => void>>();
	let checkedAt = -Infinity;

	function measureStallTimeout(pool: string): number {
		return Math.min(maximumStallMs, Math.max(minimumStallMs, timeoutPauses * measureLongestPauseMs(pool)));
	}

	function handleStalled(endpoint: string, readAt: number): void {
		onStalled(endpoint);
		const overdue = handlers.get(endpoint)?.entries().filter(([request]) => detector.isOverdue(endpoint, request, readAt)).toArray() ?? [];
		for (const [request, handle] of overdue) {
			handlers.get(endpoint)?.delete(request);
			handle();
		}
	}

	return {
		open(endpoint, {pool, predictedMs}) {
			const expectedAt = performance.now() + (overdueFactor * predictedMs);
			return detector.open(endpoint, {dueAt: expectedAt + measureStallTimeout(pool), overdueAt: expectedAt + minimumStallMs});
		},
		markChunk: detector.markChunk,
		markPaused(endpoint, request) {
			detector.setExpected(endpoint, request, {dueAt: Infinity, overdueAt: Infinity});
		},
		markResumed(endpoint, request) {
			// The endpoint had no reason to send while it had to wait, so it gets the longest timeout.
			const dueAt = performance.now() + maximumStallMs;
			detector.setExpected(endpoint, request, {dueAt, overdueAt: dueAt});
		},
		setHandler(endpoint, request, handler) {
			const before = handlers.get(endpoint) ?? new Map<symbol, () => void>();
			before.set(request, handler);
			handlers.set(endpoint, before);
		},
		close(endpoint, request) {
			detector.close(endpoint, request);
			handlers.get(endpoint)?.delete(request);
		},
		update(endpoints, readAt) {
			if (readAt - checkedAt < checkIntervalMs) {
				return;
			}

			checkedAt = readAt;
			for (const {incarnation, pool} of endpoints) {
				const isStalled = detector.isStalled(incarnation, {timeoutMs: measureStallTimeout(pool), readAt});
				loads.setStallCounts(incarnation, isStalled === undefined ? 0 : 1, isStalled === true ? 1 : 0);
			}

			for (const endpoint of loads.listStalled()) {
				handleStalled(endpoint, readAt);
			}
		},
		removeEndpoint(endpoint) {
			detector.removeEndpoint(endpoint);
			handlers.delete(endpoint);
		},
	};
}

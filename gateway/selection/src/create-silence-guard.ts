import {createSilenceWatch} from './create-silence-watch.ts';
import type {LoadTable} from './load-table.ts';
import type {SilenceGuard} from './silence-guard.ts';

/**
Silence after which an endpoint that owes pieces is taken for dark: a few times the longest pause that reading makes, within
bounds, in milliseconds.
*/
const silencePauses = 2.5;
const leastSilenceMs = 400;
const longestSilenceMs = 1000;
/**
Times the predicted time to the first piece after which it is overdue.
*/
const overdueFactor = 2;

/**
How often endpoints are judged, in milliseconds: a small part of the shortest silence.
*/
const judgeMs = 80;

type SilenceGuardOptions = {
	readonly loads: Pick<LoadTable, 'setSilence' | 'listSilent'>;
	/**
	Longest pause that reading makes at the endpoints of a pool, in milliseconds.
	*/
	readonly measurePauseMs: (pool: string) => number;
	readonly onDark: (endpoint: string) => void;
};

/**
 Creates the guard against silent endpoints. One is dark when every node that ought to have heard of it has not: new requests
 leave it, and those that may move are told.

 @example
 const guard = createSilenceGuard({loads, measurePauseMs: () => 200, onDark() {}});
 guard.update(endpoints.values());
 */
export function createSilenceGuard({loads, measurePauseMs, onDark}: SilenceGuardOptions): SilenceGuard {
	const watch = createSilenceWatch();
	const handlers = new Map<string, Map<symbol, () => void>>();
	let judgedAt = -Infinity;

	function measureSilence(pool: string): number {
		return Math.min(longestSilenceMs, Math.max(leastSilenceMs, silencePauses * measurePauseMs(pool)));
	}

	function handleDark(endpoint: string): void {
		onDark(endpoint);
		const waiting = handlers.get(endpoint)?.values().toArray() ?? [];
		handlers.delete(endpoint);
		for (const handle of waiting) {
			handle();
		}
	}

	return {
		open: (endpoint, {pool, predictedMs}) => watch.open(endpoint, performance.now() + (overdueFactor * predictedMs) + measureSilence(pool)),
		markPiece: watch.markPiece,
		markPaused: watch.markPaused,
		setHandler(endpoint, work, handler) {
			const before = handlers.get(endpoint) ?? new Map<symbol, () => void>();
			before.set(work, handler);
			handlers.set(endpoint, before);
		},
		close(endpoint, work) {
			watch.close(endpoint, work);
			handlers.get(endpoint)?.delete(work);
		},
		update(endpoints) {
			const now = performance.now();
			if (now - judgedAt < judgeMs) {
				return;
			}

			judgedAt = now;
			for (const {incarnation, pool} of endpoints) {
				const isSilent = watch.isSilent(incarnation, measureSilence(pool));
				loads.setSilence(incarnation, isSilent === undefined ? 0 : 1, isSilent === true ? 1 : 0);
			}

			for (const endpoint of loads.listSilent()) {
				handleDark(endpoint);
			}
		},
		removeEndpoint(endpoint) {
			watch.removeEndpoint(endpoint);
			handlers.delete(endpoint);
		},
	};
}

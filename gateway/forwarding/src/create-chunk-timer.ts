import type {Metrics} from '@valvesaddle/metrics';
import type {ChunkTimer} from './chunk-timer.ts';

/**
 Creates the clock of an answer's pieces.

 @example
 const clock = createPieceClock(performance.now(), metrics);
 clock.record();
 clock.longestPauseMs(); // 0
 */
export function createChunkTimer(arrivedAt: number, metrics: Metrics): ChunkTimer {
	let firstMs: number | undefined;
	let lastAt = 0;
	let longestPauseMs = 0;
	let pieces = 0;

	return {
		record() {
			const now = performance.now();
			pieces++;
			if (firstMs === undefined) {
				firstMs = Math.round(now - arrivedAt);
				metrics.timing('gateway.first-byte', firstMs);
			} else {
				longestPauseMs = Math.max(longestPauseMs, now - lastAt);
				metrics.timing('gateway.pause', now - lastAt);
			}

			lastAt = now;
		},
		chunks: () => pieces,
		firstMs: () => firstMs,
		longestPauseMs: () => Math.round(longestPauseMs),
	};
}

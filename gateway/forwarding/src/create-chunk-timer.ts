import type {Metrics} from '@valvesaddle/metrics';
import type {ChunkTimer} from './chunk-timer.ts';

/**
 Creates the timer of an answer's chunks.

 @example
 const chunkTimer = createChunkTimer(performance.now(), metrics);
 chunkTimer.record();
 chunkTimer.longestPauseMs(); // 0
 */
export function createChunkTimer(arrivedAt: number, metrics: Metrics): ChunkTimer {
	let firstMs: number | undefined;
	let lastAt = 0;
	let longestPauseMs = 0;
	let chunks = 0;

	return {
		record() {
			const now = performance.now();
			chunks++;
			if (firstMs === undefined) {
				firstMs = Math.round(now - arrivedAt);
				metrics.timing('gateway.first-byte', firstMs);
			} else {
				longestPauseMs = Math.max(longestPauseMs, now - lastAt);
				metrics.timing('gateway.pause', now - lastAt);
			}

			lastAt = now;
		},
		chunks: () => chunks,
		firstMs: () => firstMs,
		longestPauseMs: () => Math.round(longestPauseMs),
	};
}

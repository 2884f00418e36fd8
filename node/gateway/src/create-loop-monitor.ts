import type {Logger} from '@valvesaddle/logger';
import type {Metrics} from '@valvesaddle/metrics';
import type {LoopMonitor} from './loop-monitor.ts';

type LoopMonitorOptions = {
	/**
	Period of the ticks, in milliseconds.
	*/
	readonly periodMs: number;
	readonly logger: Logger;
	readonly metrics: Metrics;
};

/**
Delay from which a tick counts as late, in milliseconds: requests, closes and answers were read that late too.
*/
const lateMs = 250;

/**
 Creates the monitor of the event loop. It uses ticks that run anyway, so that it wakes no idle node up.

 @example
 const monitor = createLoopMonitor({periodMs: 250, logger, metrics});
 monitor.recordTick();
 */
export function createLoopMonitor({periodMs, logger, metrics}: LoopMonitorOptions): LoopMonitor {
	let lastAt: number | undefined;

	return {
		recordTick() {
			const now = performance.now();
			const delayMs = lastAt === undefined ? 0 : Math.max(0, now - lastAt - periodMs);
			lastAt = now;
			if (delayMs < lateMs) {
				return;
			}

			metrics.increment('gateway.late-ticks');
			logger.warn({name: 'event-loop-late', delayMs: Math.round(delayMs)});
		},
	};
}

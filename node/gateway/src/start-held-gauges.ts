import type {ByteLedger} from '@valvesaddle/buffers';
import type {Metrics} from '@valvesaddle/metrics';

const kinds = ['body', 'received', 'unsent'] as const;
const intervalMs = 1000;

/**
 Starts the gauges of held bytes; returns a function that ends them.

 @example
 const end = startHeldGauges(ledger, metrics);
 */
export function startHeldGauges(ledger: ByteLedger, metrics: Metrics): () => void {
	const timer = setInterval(() => {
		for (const kind of kinds) {
			metrics.gauge('gateway.held-bytes', ledger.countBytes(kind), {kind});
		}

		metrics.gauge('gateway.waiting-bodies', ledger.countWaiting());
	}, intervalMs);
	timer.unref();
	return () => {
		clearInterval(timer);
	};
}

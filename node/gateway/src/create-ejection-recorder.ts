import type {Logger} from '@valvesaddle/logger';
import type {Metrics} from '@valvesaddle/metrics';
import type {EjectionNotice} from '@valvesaddle/selection';

type EjectionRecorderOptions = {
	readonly logger: Pick<Logger, 'info'>;
	readonly metrics: Pick<Metrics, 'increment'>;
};

/**
 Creates the handler that logs and counts endpoints that are ejected on the evidence of all nodes, and those that return.

 @example
 const record = createEjectionRecorder({logger, metrics});
 record({endpoint: 'i-7f', pool: 'drafting', reason: 'failing', answers: 12, failures: 12, nodes: 62});
 */
export function createEjectionRecorder({logger, metrics}: EjectionRecorderOptions): (notice: EjectionNotice) => void {
	return ({endpoint, pool, reason, answers, failures, nodes}) => {
		if (reason === 'returned') {
			logger.info({
				name: 'endpoint-returned', endpoint, pool, answers: Math.round(answers), nodes,
			});
			return;
		}

		metrics.increment('gateway.ejected', 1, {reason});
		logger.info({
			name: 'endpoint-ejected', endpoint, pool, reason, answers: Math.round(answers), failures: Math.round(failures), nodes,
		});
	};
}

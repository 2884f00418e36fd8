import type {AnswerEnd} from '@valvesaddle/answers';
import type {Metrics} from '@valvesaddle/metrics';
import type {Job} from './job.ts';
import type {Progress} from './progress.ts';

type EndedRequest = {
	readonly job: Job;
	readonly end: AnswerEnd;
	readonly progress: Progress;
};

/**
 Records the metrics of an ended request: first-token latency, whether it met its objective, delivered and wasted tokens.

 @example
 recordEnd(metrics, {job, end, progress});
 */
export function recordEnd(metrics: Metrics, {job, end, progress}: EndedRequest): void {
	const tags = {class: job.requestClass.name};
	metrics.increment(`requests.${end.kind}`, 1, tags);
	if (end.kind === 'error') {
		metrics.increment('tokens.wasted', progress.tokens, tags);
		return;
	}

	metrics.increment('tokens.delivered', progress.tokens, tags);
	if (progress.firstTokenAt === undefined) {
		return;
	}

	const firstTokenMs = progress.firstTokenAt - job.arrivedAt;
	const isInTime = firstTokenMs <= job.requestClass.firstTokenTargetMs;
	metrics.timing('requests.first-token', firstTokenMs, tags);
	metrics.increment(isInTime ? 'requests.in-time' : 'requests.late', 1, tags);
}

import type {AnswerEnd} from '@valvesaddle/answers';
import type {ServiceClient} from '@valvesaddle/service';
import type {Attempt} from './attempt.ts';
import type {ServiceWork} from './service-work.ts';

/**
 Calls a plain service.

 @throws `ValvesaddleError` whose traits tell whether the service may have run the request.
 @example
 const end = await runServiceAttempt(attempt, work, services);
 */
export async function runServiceAttempt(attempt: Attempt, work: ServiceWork, services: ServiceClient): Promise<AnswerEnd> {
	const {job, grant, progress} = attempt;
	const reply = await services.call({
		url: grant.url,
		method: work.method,
		path: work.path,
		contentType: work.contentType,
		body: work.body,
		idempotencyKey: job.claim?.key,
		trace: attempt.hop.carrier,
	}, attempt.signal);
	progress.firstTokenAt ??= performance.now();
	attempt.onFirstAnswer();
	return {kind: 'reply', reply};
}

import type {AnswerEnd, AnswerLog} from '@valvesaddle/answers';
import type {ClaimQuestion} from '@valvesaddle/claims';
import {toValvesaddleError, type ValvesaddleError} from '@valvesaddle/error';
import type {Grant, ReleaseOutcome} from '@valvesaddle/messages';
import {
	advanceOutcome,
	firstOutcome,
	type Outcome,
	type OutcomeEvent,
} from '@valvesaddle/state';
import type {ExecutorOptions} from './executor-options.ts';
import type {Job} from './job.ts';
import type {Progress} from './progress.ts';
import type {RetryBudgets} from './retry-budgets.ts';
import {runEngineAttempt} from './run-engine-attempt.ts';
import {runServiceAttempt} from './run-service-attempt.ts';

/**
Endpoints tried for one request, after each of which it may go on elsewhere.
*/
const mostAttempts = 5;
const claimRetryAfterMs = 2000;

type ExecutionOptions = ExecutorOptions & {
	readonly job: Job;
	readonly log: AnswerLog;
	readonly budgets: RetryBudgets;
	readonly signal: AbortSignal;
};

type AttemptEnd = {
	readonly end: AnswerEnd | undefined;
	readonly error: ValvesaddleError | undefined;
};

/**
What to do after a failed attempt.
*/
type Verdict = 'retry' | 'give-up';

/**
 Creates the execution of one request: queue, grant, claim, send, stream, and again elsewhere where that is allowed.

 @example
 const end = await createExecution({...options, job, log, budgets, signal}).run();
 */
export function createExecution(options: ExecutionOptions): {readonly run: () => Promise<AnswerEnd>} {
	const {job, log, dispatch, claims, metrics, tracing, signal} = options;
	const progress: Progress = {
		text: '', tokens: 0, isPlainText: true, firstTokenAt: undefined,
	};
	const avoid: string[] = [];
	const hop = tracing.startHop('request', job.trace);
	const question: ClaimQuestion | undefined = job.claim && {
		...job.claim, account: job.account, requestId: job.requestId, node: options.node,
	};
	let outcome: Outcome = firstOutcome;
	let hasClaim = false;

	function advance(event: OutcomeEvent): void {
		outcome = advanceOutcome(outcome, event);
	}

	function endWithError(error: ValvesaddleError): AnswerEnd {
		advance('give-up');
		return toErrorEnd(error, outcome, job);
	}

	async function acquire(): Promise<Grant> {
		const wait = tracing.startHop('dispatch.wait', hop.carrier);
		const grant = await dispatch.acquire({
			requestId: job.requestId,
			pool: job.pool.name,
			account: job.account,
			className: job.requestClass.name,
			arrivedAt: job.arrivedAt,
			resumes: avoid.length > 0,
			promptTokens: job.promptTokens,
			tokensSoFar: progress.tokens,
			session: job.session,
			repeatable: job.claim === undefined,
			avoid,
			trace: wait.carrier,
		}, signal);
		wait.end();
		if (grant.isErr()) {
			throw grant.error;
		}

		return grant.value;
	}

	/**
	Looks whether the key was used before, so that a repetition does not wait for a grant.
	*/
	async function findHolder(): Promise<AnswerEnd | undefined> {
		if (question === undefined) {
			return undefined;
		}

		const found = await claims.find(question);
		if (found.isErr()) {
			return endWithError(found.error);
		}

		return found.value.kind === 'held' ? found.value : undefined;
	}

	/**
	Claims the request; returns the end when it may not run here.
	*/
	async function claim(): Promise<AnswerEnd | undefined> {
		if (question === undefined || hasClaim) {
			return undefined;
		}

		const answer = await claims.claim(question);
		if (answer.isErr()) {
			return endWithError(answer.error);
		}

		hasClaim = answer.value.kind === 'claimed';
		return answer.value.kind === 'held' ? answer.value : undefined;
	}

	async function runAttempt(grant: Grant): Promise<AttemptEnd> {
		const endpointHop = tracing.startHop('endpoint', hop.carrier);
		endpointHop.setAttribute('endpoint', grant.endpointId);
		const startedAt = Date.now();
		const before = progress.tokens;
		let firstAt: number | undefined;
		const attempt = {
			job, grant, log, progress, hop: endpointHop, signal,
			onFirst() {
				firstAt = Date.now();
				advance('first-answer');
			},
		};
		let result: AttemptEnd;
		try {
			const end = job.work.kind === 'engine'
				? await runEngineAttempt(attempt, job.work, options)
				: await runServiceAttempt(attempt, job.work, options.services);
			result = {end, error: undefined};
		} catch (error) {
			result = {end: undefined, error: toValvesaddleError(error)};
			endpointHop.fail(result.error?.message ?? '');
		}

		const tokens = progress.tokens - before;
		dispatch.release({
			grantId: grant.grantId,
			pool: job.pool.name,
			outcome: toReleaseOutcome(result.error),
			tokens,
			firstTokenMs: firstAt === undefined ? undefined : firstAt - startedAt,
			interTokenMs: firstAt !== undefined && tokens > 1 ? Math.round((Date.now() - firstAt) / (tokens - 1)) : undefined,
		});
		endpointHop.end();
		return result;
	}

	function decideNext(error: ValvesaddleError): Verdict {
		const canGoOn = progress.tokens === 0 || progress.isPlainText;
		if (!canGoOn || error.code === 'ERR_VALVESADDLE_CANCELLED' || avoid.length >= mostAttempts) {
			return 'give-up';
		}

		if (error.traits.ran === 'no') {
			return 'retry';
		}

		if (job.claim !== undefined) {
			return 'give-up';
		}

		// An answer under way is never given up for want of budget: its tokens would be wasted.
		return progress.tokens > 0 || options.budgets.spend(job.account, job.pool.name) ? 'retry' : 'give-up';
	}

	async function settleFailure(error: ValvesaddleError, grant: Grant): Promise<AnswerEnd | undefined> {
		metrics.increment('attempts.failed', 1, {code: error.code});
		if (error.code === 'ERR_VALVESADDLE_ENDPOINT_REJECTED') {
			advance(outcome.state === 'sent' ? 'reject' : 'give-up');
			await releaseClaim();
			return toErrorEnd(error, outcome, job);
		}

		if (decideNext(error) === 'give-up') {
			return error.traits.ran === 'no' ? endNotRun(error) : endWithError(error);
		}

		advance(error.traits.ran === 'no' && outcome.state === 'sent' ? 'not-run' : 'retry');
		avoid.push(grant.endpointId);
		return undefined;
	}

	async function endNotRun(error: ValvesaddleError): Promise<AnswerEnd> {
		advance('not-run');
		await releaseClaim();
		return endWithError(error);
	}

	/**
	Gives the claim back where the request surely did not run, so that the caller may send it again.
	*/
	async function releaseClaim(): Promise<void> {
		if (!(question !== undefined && hasClaim && outcome.ran === 'no')) {
			return;
		}

		hasClaim = false;
		await claims.release(question);
	}

	async function runOnce(): Promise<AnswerEnd | undefined> {
		let grant: Grant;
		try {
			grant = await acquire();
		} catch (error) {
			await releaseClaim();
			return endWithError(toValvesaddleError(error));
		}

		advance('grant');
		const held = await claim();
		if (held !== undefined) {
			dispatch.release({
				grantId: grant.grantId, pool: job.pool.name, outcome: 'cancelled', tokens: 0, firstTokenMs: undefined, interTokenMs: undefined,
			});
			return held;
		}

		advance('send');
		const {end, error} = await runAttempt(grant);
		if (error !== undefined) {
			return settleFailure(error, grant);
		}

		if (outcome.state === 'sent') {
			advance('first-answer');
		}

		advance('finish');
		return end;
	}

	return {
		async run() {
			let end = await findHolder();
			if (end === undefined) {
				advance('queue');
			}

			while (end === undefined) {
				// eslint-disable-next-line no-await-in-loop -- an attempt follows on the one before
				end = await runOnce();
			}

			recordEnd(options, end, progress);
			hop.setAttribute('outcome', outcome.state);
			hop.end();
			return end;
		},
	};
}

function toReleaseOutcome(error: ValvesaddleError | undefined): ReleaseOutcome {
	if (error === undefined || error.code === 'ERR_VALVESADDLE_ENDPOINT_REJECTED') {
		return 'complete';
	}

	if (error.code === 'ERR_VALVESADDLE_CANCELLED') {
		return 'cancelled';
	}

	return error.traits.ran === 'no' ? 'not-run' : 'failed';
}

function toErrorEnd(error: ValvesaddleError, {ran}: Outcome, job: Job): AnswerEnd {
	const isMayHaveRun = job.claim !== undefined && ran !== 'no';
	return {
		kind: 'error',
		code: isMayHaveRun ? 'ERR_VALVESADDLE_MAY_HAVE_RUN' : error.code,
		message: error.message,
		ran,
		retryAfterMs: error.retryAfterMs ?? (error.code === 'ERR_VALVESADDLE_CLAIMS_UNAVAILABLE' ? claimRetryAfterMs : undefined),
	};
}

function recordEnd({job, metrics}: ExecutionOptions, end: AnswerEnd, progress: Progress): void {
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

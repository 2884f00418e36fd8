import type {AnswerEnd, AnswerLog} from '@valvesaddle/answers';
import {toValvesaddleError, unwrapResult, type ValvesaddleError} from '@valvesaddle/error';
import type {Grant} from '@valvesaddle/messages';
import {
	advanceOutcome,
	firstOutcome,
	type Outcome,
	type OutcomeEvent,
} from '@valvesaddle/state';
import {createClaimHolder} from './create-claim-holder.ts';
import {decideNextStep} from './decide-next-step.ts';
import type {Execution} from './execution.ts';
import type {ExecutorOptions} from './executor-options.ts';
import type {Job} from './job.ts';
import type {Progress} from './progress.ts';
import {recordEnd} from './record-end.ts';
import type {RetryBudgets} from './retry-budgets.ts';
import {runEngineAttempt} from './run-engine-attempt.ts';
import {runServiceAttempt} from './run-service-attempt.ts';
import {toErrorEnd} from './to-error-end.ts';
import {toReleaseOutcome} from './to-release-outcome.ts';

type ExecutionOptions = ExecutorOptions & {
	readonly job: Job;
	readonly log: AnswerLog;
	readonly budgets: RetryBudgets;
	readonly signal: AbortSignal;
};

type AttemptResult = {
	readonly end: AnswerEnd | undefined;
	readonly error: ValvesaddleError | undefined;
};

/**
 Creates the execution of one request: queue, grant, claim, send, stream, and again elsewhere where that is allowed.

 @example
 const end = await createExecution({...options, job, log, budgets, signal}).run();
 */
export function createExecution(options: ExecutionOptions): Execution {
	const {job, log, dispatch, metrics, tracing, signal} = options;
	const progress: Progress = {
		text: '', tokens: 0, isPlainText: true, firstTokenAt: undefined,
	};
	const avoid: string[] = [];
	const hop = tracing.startHop('request', job.trace);
	const claimHolder = createClaimHolder(options.claims, job.claim && {
		...job.claim, account: job.account, requestId: job.requestId, node: options.node,
	});
	let outcome: Outcome = firstOutcome;

	function advance(event: OutcomeEvent): void {
		outcome = advanceOutcome(outcome, event);
	}

	/**
	Gives the request up; its claim goes back where it surely did not run, so that the caller may send it again.
	*/
	async function endWithError(error: ValvesaddleError, event: OutcomeEvent = 'give-up'): Promise<AnswerEnd> {
		advance(event);
		if (outcome.ran === 'no') {
			await claimHolder.release();
		}

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
		return unwrapResult(grant);
	}

	/**
	Claims the request under a grant; gives the grant back when it may not run here.
	*/
	async function claim(grant: Grant): Promise<AnswerEnd | undefined> {
		let held: AnswerEnd | undefined;
		try {
			held = await claimHolder.claim();
		} catch (error) {
			held = await endWithError(toValvesaddleError(error));
		}

		if (held !== undefined) {
			dispatch.release({
				grantId: grant.grantId, outcome: 'cancelled', tokens: 0, firstTokenMs: undefined, interTokenMs: undefined,
			});
		}

		return held;
	}

	async function runAttempt(grant: Grant): Promise<AttemptResult> {
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
			mayRetry: () => options.budgets.canWithdraw(job.account, job.pool.name),
		};
		let result: AttemptResult;
		try {
			const end = job.work.kind === 'engine'
				? await runEngineAttempt(attempt, job.work, options)
				: await runServiceAttempt(attempt, job.work, options.services);
			result = {end, error: undefined};
		} catch (error) {
			const failure = toValvesaddleError(error);
			result = {end: undefined, error: failure};
			endpointHop.fail(failure.message);
		}

		const tokens = progress.tokens - before;
		dispatch.release({
			grantId: grant.grantId,
			outcome: toReleaseOutcome(result.error),
			tokens,
			firstTokenMs: firstAt === undefined ? undefined : firstAt - startedAt,
			interTokenMs: firstAt !== undefined && tokens > 1 ? Math.round((Date.now() - firstAt) / (tokens - 1)) : undefined,
			retryAfterMs: result.error?.retryAfterMs,
		});
		endpointHop.end();
		return result;
	}

	async function settleFailure(error: ValvesaddleError, grant: Grant): Promise<AnswerEnd | undefined> {
		metrics.increment('attempts.failed', 1, {code: error.code});
		if (error.code === 'ERR_VALVESADDLE_ENDPOINT_REJECTED') {
			return endWithError(error, outcome.state === 'sent' ? 'reject' : 'give-up');
		}

		const next = decideNextStep({
			error, job, progress, attempts: avoid.length + 1, canSpend: () => options.budgets.withdraw(job.account, job.pool.name),
		});
		const isNotRun = error.traits.ran === 'no' && outcome.state === 'sent';
		if (next === 'end' && !isNotRun) {
			return endWithError(error);
		}

		advance(isNotRun ? 'not-run' : 'retry');
		avoid.push(grant.endpointId);
		return next === 'end' ? endWithError(error) : undefined;
	}

	/**
	One grant and one attempt; `undefined` when another one follows.
	*/
	async function runOnce(): Promise<AnswerEnd | undefined> {
		let grant: Grant;
		try {
			grant = await acquire();
		} catch (error) {
			return endWithError(toValvesaddleError(error));
		}

		advance('grant');
		const held = await claim(grant);
		if (held !== undefined) {
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

	/**
	Looks whether the key was used before, so that a repetition does not wait for a grant.
	*/
	async function findHeld(): Promise<AnswerEnd | undefined> {
		try {
			return await claimHolder.findOther();
		} catch (error) {
			return endWithError(toValvesaddleError(error));
		}
	}

	return {
		async run() {
			let end = await findHeld();
			if (end === undefined) {
				advance('queue');
			}

			while (end === undefined) {
				// eslint-disable-next-line no-await-in-loop -- an attempt follows on the one before
				end = await runOnce();
			}

			recordEnd(metrics, {job, end, progress});
			hop.setAttribute('outcome', outcome.state);
			hop.end();
			return end;
		},
	};
}

import type {AnswerEnd, AnswerLog} from '@valvesaddle/answers';
import {toValvesaddleError, unwrapResult, type ValvesaddleError} from '@valvesaddle/error';
import type {Grant} from '@valvesaddle/messages';
import {
	advanceOutcome,
	initialOutcome,
	type Outcome,
	type OutcomeEvent,
} from '@valvesaddle/state';
import {canAttemptAgain} from './can-attempt-again.ts';
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
 Creates the execution of one request: queues it, gets a grant, claims it, sends it, streams the answer, and retries at
 another endpoint where that is allowed.

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
	let outcome: Outcome = initialOutcome;
	/**
	Whether the next attempt was withdrawn from the budgets before the current one was aborted for it.
	*/
	let hasReserved = false;
	/**
	Time since the arrival that does not count as waiting for the next attempt, in milliseconds.
	*/
	let ranMs = 0;

	function advance(event: OutcomeEvent): void {
		outcome = advanceOutcome(outcome, event);
	}

	/**
	Ends the request with an error. Releases the claim of a request that certainly did not run, so that the caller can send
	it again.
	*/
	async function endWithError(error: ValvesaddleError, event: OutcomeEvent = 'give-up'): Promise<AnswerEnd> {
		advance(event);
		if (outcome.ran === 'no') {
			await claimHolder.release();
		}

		return toErrorEnd(error, outcome, job);
	}

	async function acquire(): Promise<Grant> {
		const waitHop = tracing.startHop('dispatch.wait', hop.carrier);
		const grant = await dispatch.acquire({
			requestId: job.requestId,
			pool: job.pool.name,
			account: job.account,
			className: job.requestClass.name,
			arrivedAt: job.arrivedAt,
			ranMs,
			resumes: avoid.length > 0,
			promptTokens: job.promptTokens,
			tokensSoFar: progress.tokens,
			session: job.session,
			repeatable: job.claim === undefined,
			avoid,
			trace: waitHop.carrier,
		}, signal);
		waitHop.end();
		return unwrapResult(grant);
	}

	/**
	Claims the request under a grant; releases the grant when the request cannot run here.
	*/
	async function claim(grant: Grant): Promise<AnswerEnd | undefined> {
		let claimEnd: AnswerEnd | undefined;
		try {
			claimEnd = await claimHolder.claim();
		} catch (error) {
			claimEnd = await endWithError(toValvesaddleError(error));
		}

		if (claimEnd !== undefined) {
			dispatch.release({
				grantId: grant.grantId, outcome: 'cancelled', tokens: 0, firstTokenMs: undefined, interTokenMs: undefined,
			});
		}

		return claimEnd;
	}

	function didWithdrawRetry(): boolean {
		const isReserved = hasReserved;
		hasReserved = false;
		return isReserved || options.budgets.withdraw(job.account, job.pool.name);
	}

	function didReserveRetry(hasToken: boolean): boolean {
		if (!canAttemptAgain({progress, attempts: avoid.length + 1})) {
			return false;
		}

		if (progress.tokens > 0) {
			return hasToken || options.budgets.canWithdraw(job.account, job.pool.name);
		}

		hasReserved = didWithdrawRetry();
		return hasReserved;
	}

	async function runAttempt(grant: Grant): Promise<AttemptResult> {
		const endpointHop = tracing.startHop('endpoint', hop.carrier);
		endpointHop.setAttribute('endpoint', grant.endpointId);
		const startedAt = performance.now();
		const tokensBefore = progress.tokens;
		let firstAnswerAt: number | undefined;
		const attempt = {
			job, grant, log, progress, hop: endpointHop, signal,
			onFirstAnswer() {
				firstAnswerAt = performance.now();
				advance('first-answer');
			},
			reserveRetry: didReserveRetry,
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

		// A request that an endpoint refused goes on with the wait that it had; one that may have run has been served since.
		const isRefused = result.error?.traits.ran === 'no';
		ranMs = Math.round(isRefused ? ranMs + performance.now() - startedAt : performance.now() - job.arrivedAt);
		const tokens = progress.tokens - tokensBefore;
		dispatch.release({
			grantId: grant.grantId,
			outcome: toReleaseOutcome(result.error),
			tokens,
			firstTokenMs: firstAnswerAt === undefined ? undefined : Math.round(firstAnswerAt - startedAt),
			interTokenMs: firstAnswerAt !== undefined && tokens > 1 ? Math.round((performance.now() - firstAnswerAt) / (tokens - 1)) : undefined,
			retryAfterMs: result.error?.retryAfterMs,
		});
		endpointHop.end();
		return result;
	}

	async function handleFailure(error: ValvesaddleError, grant: Grant): Promise<AnswerEnd | undefined> {
		metrics.increment('attempts.failed', 1, {code: error.code});
		if (error.code === 'ERR_VALVESADDLE_ENDPOINT_REJECTED') {
			return endWithError(error, outcome.state === 'sent' ? 'reject' : 'give-up');
		}

		const next = decideNextStep({
			error, job, progress, attempts: avoid.length + 1, withdrawRetry: didWithdrawRetry,
		});
		const hasNotRun = error.traits.ran === 'no' && outcome.state === 'sent';
		if (next === 'end' && !hasNotRun) {
			return endWithError(error);
		}

		advance(hasNotRun ? 'not-run' : 'retry');
		avoid.push(grant.endpointId);
		return next === 'end' ? endWithError(error) : undefined;
	}

	/**
	Runs one attempt under its own grant; returns `undefined` when another one follows.
	*/
	async function runOnce(): Promise<AnswerEnd | undefined> {
		let grant: Grant;
		try {
			grant = await acquire();
		} catch (error) {
			return endWithError(toValvesaddleError(error));
		}

		advance('grant');
		const claimEnd = await claim(grant);
		if (claimEnd !== undefined) {
			return claimEnd;
		}

		advance('send');
		const {end, error} = await runAttempt(grant);
		if (error !== undefined) {
			return handleFailure(error, grant);
		}

		if (outcome.state === 'sent') {
			advance('first-answer');
		}

		advance('finish');
		return end;
	}

	/**
	Checks whether another attempt holds the key, so that a repeated request does not wait for a grant.
	*/
	async function findClaimEnd(): Promise<AnswerEnd | undefined> {
		try {
			return await claimHolder.findOther();
		} catch (error) {
			return endWithError(toValvesaddleError(error));
		}
	}

	return {
		async run() {
			let end = await findClaimEnd();
			if (end === undefined) {
				advance('queue');
			}

			while (end === undefined) {
				// eslint-disable-next-line no-await-in-loop -- attempts are sequential
				end = await runOnce();
			}

			recordEnd(metrics, {job, end, progress});
			hop.setAttribute('outcome', outcome.state);
			hop.end();
			return end;
		},
	};
}

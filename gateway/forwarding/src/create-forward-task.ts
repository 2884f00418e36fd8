import type {ValvesaddleError} from '@valvesaddle/error';
import type {Selection, SelectionCriteria} from '@valvesaddle/selection';
import type {AttemptAnswer} from './attempt-answer.ts';
import type {AttemptEvents} from './attempt-events.ts';
import type {AttemptFailure} from './attempt-failure.ts';
import type {Attempt} from './attempt.ts';
import {canRetry} from './can-retry.ts';
import {createAdmitter} from './create-admitter.ts';
import {createAnswerWriter} from './create-answer-writer.ts';
import {createAttempt} from './create-attempt.ts';
import {createProgressTimer} from './create-progress-timer.ts';
import {createRefusals} from './create-refusals.ts';
import {createRequestRecorder} from './create-request-recorder.ts';
import type {ForwardTask} from './forward-task.ts';
import type {ForwardTaskOptions} from './forward-task-options.ts';
import type {FailureCause} from './failure-cause.ts';
import type {ForwarderOptions} from './forwarder-options.ts';
import {getProgressTimeouts} from './get-progress-timeouts.ts';
import type {Interruption} from './interruption.ts';
import {isRetryable} from './is-retryable.ts';
import {rankUrgency} from './rank-urgency.ts';
import type {RetryDenial} from './retry-denial.ts';
import {toInterruption} from './to-interruption.ts';

/**
Number of endpoints that are tried for one request, including those that refuse it or are unreachable.
*/
const maximumTriedEndpoints = 5;

/**
 Forwards a request until it has one final answer. The task owns its timers and its open exchange.

 @example
 const task = createForwardTask(options, {request, reply, onEnd() {}});
 task.cancel();
 */
export function createForwardTask(options: ForwarderOptions, {request, reply, onEnd}: ForwardTaskOptions): ForwardTask {
	const {selector, wire, metrics} = options;
	const {metadata, route} = request;
	const waitMs = Math.min(route.timeoutMs, metadata.waitMs ?? Infinity);
	const deadlineAt = request.arrivedAt + waitMs;
	const writer = createAnswerWriter({request, reply, wire});
	const admitter = createAdmitter(options, request, waitMs);
	const recorder = createRequestRecorder(options, request);
	const refusals = createRefusals(selector, request.pool);
	const tried = new Set<string>();
	const question: SelectionCriteria = {
		pool: request.pool,
		objectiveMs: route.latencyObjectiveMs,
		pauseObjectiveMs: route.pauseObjectiveMs,
		urgency: rankUrgency(route, request.account, false),
		promptTokens: metadata.promptTokens,
		parts: metadata.parts,
		tried,
	};
	const isRequestRetryable = isRetryable(route);
	const {pauseMs} = getProgressTimeouts(route, 0);
	const progressTimer = createProgressTimer(milliseconds => {
		if (!canRetry({route, mayHaveRun: true, runs}) || selector.choose(question) === undefined) {
			return;
		}

		endAttempt('failed');
		handleFailure({cause: 'silent', reason: `silent for ${Math.round(milliseconds)} ms`, mayHaveRun: true});
	});
	let attempts = 0;
	let runs = 0;
	let sends = 0;
	let hasEnded = false;
	let attempt: Attempt | undefined;
	let isStarted = false;

	const events: AttemptEvents = {
		onSent() {
			runs++;
			sends++;
		},
		onNotRun() {
			runs--;
		},
		onStarted: markStarted,
		onChunk() {
			if (route.kind === 'stream') {
				startProgressTimer(pauseMs);
			}
		},
		onPaused: progressTimer.stop,
		onEndpointLost: handleEndpointLost,
		onAnswer: answerCaller,
		onFailure: handleFailure,
	};
	const timer = setTimeout(handleDeadline, Math.max(0, deadlineAt - performance.now()));

	function closeTask(outcome: string, status: number): void {
		hasEnded = true;
		clearTimeout(timer);
		progressTimer.stop();
		recorder.recordEnd(outcome, status, {attempts, runs});
		onEnd();
	}

	/**
	Reports the start of a request once, however often it is sent: a stream with its first event, any other request when it is sent.
	*/
	function markStarted(at: number): void {
		if (isStarted) {
			return;
		}

		isStarted = true;
		options.onStarted?.(request.account?.name ?? '', at);
	}

	function refuse(error: ValvesaddleError): void {
		closeTask(error.code, error.traits.status);
		reply.refuse(error);
	}

	/**
	Ends the request without a whole answer: by a refusal, or within an answer that has started.
	*/
	function fail(error: ValvesaddleError, interruption: Interruption): void {
		if (!writer.isStarted()) {
			refuse(error);
			return;
		}

		closeTask('broken-off', 0);
		reply.abort(interruption);
	}

	function handleDeadline(): void {
		endAttempt('cancelled');
		fail(refusals.buildTimeout(waitMs, runs > 0), {endedBy: 'deadline', cause: 'timeout', reason: `no whole answer after ${waitMs} ms`});
	}

	/**
	Restarts the timeout for the next chunk, after which a retryable request is sent to another endpoint.
	*/
	function startProgressTimer(milliseconds: number): void {
		if (isRequestRetryable) {
			progressTimer.start(milliseconds);
		}
	}

	/**
	Sends a retryable request to another endpoint immediately, since this one will not answer.
	*/
	function handleEndpointLost(cause: FailureCause, reason: string): void {
		if (!canRetry({route, mayHaveRun: true, runs}) || selector.choose(question) === undefined) {
			return;
		}

		endAttempt('cancelled');
		handleFailure({cause, reason, mayHaveRun: true});
	}

	function endAttempt(end: 'failed' | 'cancelled'): void {
		progressTimer.stop();
		attempt?.end(end);
		attempt = undefined;
	}

	function startAttempt(): void {
		const startedAt = performance.now();
		const selection = attempts < maximumTriedEndpoints ? selector.choose(question) : undefined;
		metrics.timing('gateway.decision', performance.now() - startedAt);
		if (selection === undefined) {
			recorder.recordNoEndpoint(attempts, selector.getCooldownMs(request.pool));
			fail(refusals.buildNoEndpoint(attempts), {endedBy: 'node', cause: 'no-endpoint', reason: `${attempts} of ${request.pool} tried`});
			return;
		}

		const admission = admitter.decide(selection, attempts > 0);
		if (admission.kind === 'refuse') {
			refuse(refusals.buildOverloaded(selection.costMs, admission.retryAfterMs));
		} else {
			sendTo(admission.kind === 'send-late' ? selector.choose({...question, urgency: rankUrgency(route, request.account, true)}) ?? selection : selection);
		}
	}

	function sendTo(selection: Selection): void {
		attempts++;
		tried.add(selection.endpoint.incarnation);
		const remainingMs = deadlineAt - performance.now();
		recorder.recordSent(selection, attempts, remainingMs);
		startProgressTimer(getProgressTimeouts(route, request.isEnginePool ? selection.costMs : 0).firstByteMs);
		attempt = createAttempt({
			tools: options, request, question, selection, writer, recorder, remainingMs,
		}, events);
	}

	function answerCaller(answer: AttemptAnswer): void {
		attempt = undefined;
		// The deadline timer is cleared last, so that a request whose answer cannot be written still times out.
		writer.end(answer);
		closeTask('answered', answer.status);
	}

	/**
	Spends a retry, or tells why there is none. Retries use the budget only once the request has been sent to an endpoint.
	*/
	function checkRetry({mayHaveRun}: AttemptFailure): RetryDenial | undefined {
		if (!canRetry({route, mayHaveRun, runs})) {
			return mayHaveRun && !isRequestRetryable ? 'not-repeatable' : 'run-limit';
		}

		return sends === 0 || options.budget.spend(request.pool) ? undefined : 'budget';
	}

	function handleFailure(failure: AttemptFailure): void {
		progressTimer.stop();
		attempt = undefined;
		writer.discardPartialEvent();
		const denial = checkRetry(failure);
		recorder.recordFailure(failure, attempts, denial, options.budget.readUsage(request.pool));
		if (denial === undefined) {
			startAttempt();
		} else if (failure.answer !== undefined && !writer.isStarted()) {
			answerCaller(failure.answer);
		} else {
			fail(refusals.buildFailure(failure.reason, runs > 0), toInterruption(failure));
		}
	}

	startAttempt();

	return {
		cancel() {
			if (hasEnded) {
				return;
			}

			endAttempt('cancelled');
			closeTask('cancelled', 0);
		},
	};
}

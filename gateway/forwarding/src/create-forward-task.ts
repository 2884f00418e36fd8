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
import type {ForwarderOptions} from './forwarder-options.ts';
import {getProgressTimeouts} from './get-progress-timeouts.ts';
import {isRetryable} from './is-retryable.ts';
import {rankUrgency} from './rank-urgency.ts';

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
		handleFailure({reason: `silent for ${Math.round(milliseconds)} ms`, mayHaveRun: true});
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
		if (writer.isStarted()) {
			closeTask('broken-off', 0);
			reply.abort();
			return;
		}

		closeTask(error.code, error.traits.status);
		reply.refuse(error);
	}

	function handleDeadline(): void {
		endAttempt('cancelled');
		refuse(refusals.buildTimeout(waitMs, runs > 0));
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
	function handleEndpointLost(reason: string): void {
		if (!canRetry({route, mayHaveRun: true, runs}) || selector.choose(question) === undefined) {
			return;
		}

		endAttempt('cancelled');
		handleFailure({reason, mayHaveRun: true});
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
			refuse(refusals.buildNoEndpoint(attempts));
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

	function handleFailure(failure: AttemptFailure): void {
		progressTimer.stop();
		attempt = undefined;
		writer.discardPartialEvent();
		// Retries use the retry budget only once the request has been sent to an endpoint.
		const isAllowed = canRetry({route, mayHaveRun: failure.mayHaveRun, runs});
		const isRetried = isAllowed && (sends === 0 || options.budget.spend(request.pool));
		recorder.recordFailure(failure, attempts, isRetried);
		if (isRetried) {
			startAttempt();
		} else if (failure.answer !== undefined && !writer.isStarted()) {
			answerCaller(failure.answer);
		} else {
			refuse(refusals.buildFailure(failure.reason, runs > 0));
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

import type {ValvesaddleError} from '@valvesaddle/error';
import type {SelectionCriteria, Selection} from '@valvesaddle/selection';
import type {AttemptAnswer} from './attempt-answer.ts';
import type {AttemptFailure} from './attempt-failure.ts';
import {createAdmitter} from './create-admitter.ts';
import {createAnswerWriter} from './create-answer-writer.ts';
import {createAttemptSwitch} from './create-attempt-switch.ts';
import {createAttempt} from './create-attempt.ts';
import {createCrashRecord} from './create-crash-record.ts';
import {createPlacer} from './create-placer.ts';
import {createProgressTimer} from './create-progress-timer.ts';
import {createRefusals} from './create-refusals.ts';
import {createRequestRecorder} from './create-request-recorder.ts';
import {createRetryAllowance} from './create-retry-allowance.ts';
import type {ForwardTask} from './forward-task.ts';
import type {ForwardTaskOptions} from './forward-task-options.ts';
import type {ForwarderOptions} from './forwarder-options.ts';
import {getProgressTimeouts} from './get-progress-timeouts.ts';
import type {Interruption} from './interruption.ts';
import {isRetryable} from './is-retryable.ts';
import {rankUrgency} from './rank-urgency.ts';
import type {RetryDenial} from './retry-denial.ts';
import type {SwitchEvents} from './switch-events.ts';
import {toInterruption} from './to-interruption.ts';
import {toShareRequest} from './to-share-request.ts';

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
	const crashes = createCrashRecord(options, request);
	const recorder = createRequestRecorder(options, request, crashes.getDigest);
	const refusals = createRefusals(selector, request.pool);
	const tried = new Set<string>();
	const question: SelectionCriteria = {
		pool: request.pool,
		objectiveMs: route.latencyObjectiveMs,
		pauseObjectiveMs: route.pauseObjectiveMs,
		urgency: rankUrgency(route, request.account, false),
		promptTokens: metadata.promptTokens,
		className: route.name,
		maximumOutputTokens: metadata.outputTokens,
		isMostUrgent: route.priority === 0,
		parts: metadata.parts,
		bodyBytes: request.body?.length ?? 0,
		tried,
		isRepeatable: isRetryable(route),
	};
	const retries = createRetryAllowance({
		route, pool: request.pool, budget: options.budget, isPoolFailing: () => selector.isPoolFailing(request.pool),
	});
	const {pauseMs} = getProgressTimeouts(route, 0);
	const progressTimer = createProgressTimer(milliseconds => {
		if (!canMove()) {
			return;
		}

		// Checked again if the attempt goes on: a retry or an endpoint may become available while the request still waits.
		startProgressTimer(milliseconds);
		moveAttempt({cause: 'silent', reason: `silent for ${Math.round(milliseconds)} ms`, mayHaveRun: true}, 'failed');
	});
	const placer = createPlacer({
		tools: options, request, question, tried, admitter: createAdmitter(options, request, waitMs), crashes, refusals, retries,
		onSend(selection) {
			markSending(selection);
			attemptSwitch.start(selection);
		},
		onRefused: refusePlace,
		onNoEndpoint: handleNoEndpoint,
	});
	/**
	ID of the endpoint that the request was last sent to.
	*/
	let sentTo = '-';
	let firstByteMs = 0;
	let hasEnded = false;
	let isStarted = false;

	const events: SwitchEvents = {
		onSent() {
			retries.markSent();
			// The endpoint had nothing to answer while the connection opened.
			startProgressTimer(firstByteMs);
		},
		onNotRun: retries.markNotRun,
		onStarted: markStarted,
		onChunk() {
			startProgressTimer(pauseMs);
		},
		onPaused: progressTimer.stop,
		onResumed() {
			startProgressTimer(pauseMs);
		},
		onEndpointLost(cause, reason) {
			if (canMove()) {
				moveAttempt({cause, reason, mayHaveRun: true}, 'cancelled');
			}
		},
		onAnswer: answerCaller,
		onFailure: handleFailure,
		onReplaced: writer.discardPartialEvent,
		onKept(failure) {
			recorder.recordReverted(placer.countAttempts(), failure);
			startProgressTimer(writer.isStarted() ? pauseMs : firstByteMs);
		},
	};
	const attemptSwitch = createAttemptSwitch({
		openAttempt: (selection, attemptEvents) => createAttempt({
			tools: options, request, question, selection, writer, recorder, crashes, remainingMs: deadlineAt - performance.now(),
		}, attemptEvents),
		events,
	});
	const timer = setTimeout(() => {
		// After the event loop was blocked, timers run before sockets are read, and the answer may wait there.
		setImmediate(handleDeadline);
	}, Math.max(0, deadlineAt - performance.now()));

	function closeTask(outcome: string, status: number): void {
		hasEnded = true;
		clearTimeout(timer);
		progressTimer.stop();
		placer.end();
		recorder.recordEnd(outcome, status, {attempts: placer.countAttempts(), runs: retries.countRuns()});
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
		options.sharing?.recordServed(toShareRequest(request, false));
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
		if (hasEnded) {
			return;
		}

		endAttempt('cancelled');
		fail(refusals.buildTimeout(waitMs, retries.countRuns() > 0), {endedBy: 'deadline', cause: 'timeout', reason: `no whole answer after ${waitMs} ms`});
	}

	/**
	Restarts the timeout for the next chunk, after which a retryable request is sent to another endpoint.
	*/
	function startProgressTimer(milliseconds: number): void {
		if (isRetryable(route)) {
			progressTimer.start(milliseconds);
		}
	}

	/**
	Whether another endpoint may go on with a request that an endpoint works on.
	*/
	function canMove(): boolean {
		return writer.canResume() && !crashes.isQuarantined() && retries.isAllowed({mayHaveRun: true});
	}

	/**
	Sends a request whose attempt is presumed lost to another endpoint. The attempt goes on until that endpoint has accepted the
	request, or if there is none: its endpoint may still answer. Silence alone is no reason to prefer an endpoint that is known to fail.
	*/
	function moveAttempt(failure: AttemptFailure, end: 'failed' | 'cancelled'): void {
		// Under overload many attempts are checked again and again, and choosing an endpoint takes longest.
		if (!retries.hasRetry()) {
			recorder.recordKept(failure, placer.countAttempts(), 'budget', options.budget.readUsage(request.pool));
			return;
		}

		const selection = placer.choose({...question, isHealthyOnly: failure.cause !== 'restarted'});
		const denial = selection === undefined ? 'no-endpoint' : retries.spend(failure);
		if (selection === undefined || denial !== undefined) {
			recorder.recordKept(failure, placer.countAttempts(), denial ?? 'no-endpoint', options.budget.readUsage(request.pool));
			return;
		}

		recorder.recordFailure(failure, {endpoint: sentTo, attempt: placer.countAttempts()}, undefined, options.budget.readUsage(request.pool));
		markSending(selection);
		attemptSwitch.replace(selection, end);
	}

	function endAttempt(end: 'failed' | 'cancelled'): void {
		progressTimer.stop();
		attemptSwitch.end(end);
	}

	/**
	Ends a request for which there is no room. One that an endpoint has worked on is not refused as if it had not run.
	*/
	function refusePlace(error: ValvesaddleError): void {
		if (retries.countRuns() === 0) {
			refuse(error);
		} else {
			fail(refusals.buildFailure(error.message, true), {endedBy: 'node', cause: 'no-endpoint', reason: error.message});
		}
	}

	function handleNoEndpoint(): void {
		const attempts = placer.countAttempts();
		recorder.recordNoEndpoint(attempts, selector.getCooldownMs(request.pool));
		const reason = `${attempts} of ${request.pool} tried`;
		// An endpoint that has failed the request may have run it.
		fail(retries.countRuns() > 0 ? refusals.buildFailure(reason, true) : refusals.buildNoEndpoint(attempts), {endedBy: 'node', cause: 'no-endpoint', reason});
	}

	function markSending(selection: Selection): void {
		placer.markSent(selection);
		sentTo = selection.endpoint.id;
		recorder.recordSent(selection, placer.countAttempts(), deadlineAt - performance.now());
		({firstByteMs} = getProgressTimeouts(route, request.isEnginePool ? selection.costMs : 0));
		startProgressTimer(firstByteMs);
	}

	function answerCaller(answer: AttemptAnswer): void {
		// The deadline timer is cleared last, so that a request whose answer cannot be written still times out.
		writer.end(answer);
		crashes.recordAnswered();
		closeTask('answered', answer.status);
	}

	/**
	Why a failed attempt is not followed by another; `undefined` if a retry of the budget was spent for the next one.
	*/
	function decideDenial(failure: AttemptFailure): RetryDenial | undefined {
		if (crashes.isQuarantined()) {
			return 'quarantined';
		}

		return writer.canResume() ? retries.spend(failure) : 'not-repeatable';
	}

	function handleFailure(failure: AttemptFailure): void {
		progressTimer.stop();
		writer.discardPartialEvent();
		if (failure.isFull === true) {
			placer.markFull();
		}

		const reason = decideDenial(failure);
		// Where requests wait, one that a full endpoint has refused waits also until the budget allows its retry.
		const isNeedsRetry = reason === 'budget' && failure.isFull === true && placer.canWait();
		const denial = isNeedsRetry ? undefined : reason;
		recorder.recordFailure(failure, {endpoint: sentTo, attempt: placer.countAttempts()}, denial, options.budget.readUsage(request.pool));
		if (denial === undefined) {
			placer.place(isNeedsRetry);
		} else if (failure.answer !== undefined && !writer.isStarted()) {
			answerCaller(failure.answer);
		} else if (denial === 'quarantined' && retries.countRuns() === 0) {
			refuse(refusals.buildQuarantined());
		} else {
			fail(refusals.buildFailure(failure.reason, retries.countRuns() > 0), toInterruption(failure));
		}
	}

	placer.place(false);

	return {
		cancel() {
			if (hasEnded) {
				return;
			}

			endAttempt('cancelled');
			closeTask('cancelled', 0);
		},
		fail(interruption) {
			if (hasEnded) {
				return;
			}

			endAttempt('cancelled');
			fail(refusals.buildStopped(retries.countRuns() > 0), interruption);
		},
	};
}

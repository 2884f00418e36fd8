import type {ValvesaddleError} from '@valvesaddle/error';
import type {Selection, SelectionQuestion} from '@valvesaddle/selection';
import type {AttemptAnswer} from './attempt-answer.ts';
import type {AttemptEvents} from './attempt-events.ts';
import type {AttemptFailure} from './attempt-failure.ts';
import type {Attempt} from './attempt.ts';
import {canRepeat} from './can-repeat.ts';
import {createAdmitter} from './create-admitter.ts';
import {createAnswerWriter} from './create-answer-writer.ts';
import {createAttempt} from './create-attempt.ts';
import {createPatience} from './create-patience.ts';
import {createRefusals} from './create-refusals.ts';
import {createRequestRecord} from './create-request-record.ts';
import type {ForwardTask} from './forward-task.ts';
import type {ForwardTaskOptions} from './forward-task-options.ts';
import type {ForwarderOptions} from './forwarder-options.ts';
import {getPatience} from './get-patience.ts';
import {isRepeatable} from './is-repeatable.ts';
import {rankUrgency} from './rank-urgency.ts';

/**
Endpoints that may refuse or be unreachable, one after the other, before the caller is told so.
*/
const mostTries = 5;
/**
 Starts to carry a request to one final answer. The task owns its timers and the exchange that is under way.

 @example
 const task = createForwardTask(options, {request, reply, onOver() {}});
 task.cancel();
 */
export function createForwardTask(options: ForwarderOptions, {request, reply, onOver}: ForwardTaskOptions): ForwardTask {
	const {selector, wire, metrics} = options;
	const {metadata: facts, route} = request;
	const waitMs = Math.min(route.timeoutMs, facts.waitMs ?? Infinity);
	const deadlineAt = request.arrivedAt + waitMs;
	const writer = createAnswerWriter({request, reply, wire});
	const admitter = createAdmitter(options, request, waitMs);
	const record = createRequestRecord(options, request);
	const refusals = createRefusals(selector, request.pool);
	const tried = new Set<string>();
	const question: SelectionQuestion = {
		pool: request.pool,
		objectiveMs: route.latencyObjectiveMs,
		pauseObjectiveMs: route.pauseObjectiveMs,
		urgency: rankUrgency(route, request.account, false),
		promptTokens: facts.promptTokens,
		parts: facts.parts,
		tried,
	};
	const isMovable = isRepeatable(route);
	const {pauseMs} = getPatience(route, 0);
	const patience = createPatience(milliseconds => {
		if (!canRepeat({route, mayHaveRun: true, runs}) || selector.choose(question) === undefined) {
			return;
		}

		endAttempt('failed');
		handleFailure({reason: `silent for ${Math.round(milliseconds)} ms`, mayHaveRun: true});
	});
	let tries = 0;
	let runs = 0;
	let arrivals = 0;
	let isOver = false;
	let attempt: Attempt | undefined;
	let isBegun = false;

	const events: AttemptEvents = {
		onSent() {
			runs++;
			arrivals++;
		},
		onNotRun() {
			runs--;
		},
		onBegun: markBegun,
		onPiece() {
			if (route.kind === 'stream') {
				startPatience(pauseMs);
			}
		},
		onPaused: patience.stop,
		onLost: moveElsewhere,
		onAnswer: answerCaller,
		onFailure: handleFailure,
	};
	const timer = setTimeout(handleDeadline, Math.max(0, deadlineAt - performance.now()));

	function closeTask(outcome: string, status: number): void {
		isOver = true;
		clearTimeout(timer);
		patience.stop();
		record.recordEnd(outcome, status, {tries, runs});
		onOver();
	}

	/**
	A request begins to run once, however often it is sent: a stream with its first event, any other when it was sent.
	*/
	function markBegun(at: number): void {
		if (isBegun) {
			return;
		}

		isBegun = true;
		options.onStarted?.(request.account?.name ?? '', at);
	}

	function refuse(error: ValvesaddleError): void {
		if (writer.isBegun()) {
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
	Gives an endpoint some time for its next byte; a request that may be repeated then goes elsewhere.
	*/
	function startPatience(milliseconds: number): void {
		if (isMovable) {
			patience.start(milliseconds);
		}
	}

	/**
	The endpoint will not answer: a request that may be repeated goes elsewhere at once.
	*/
	function moveElsewhere(reason: string): void {
		if (!canRepeat({route, mayHaveRun: true, runs}) || selector.choose(question) === undefined) {
			return;
		}

		endAttempt('cancelled');
		handleFailure({reason, mayHaveRun: true});
	}

	function endAttempt(end: 'failed' | 'cancelled'): void {
		patience.stop();
		attempt?.end(end);
		attempt = undefined;
	}

	function startAttempt(): void {
		const askedAt = performance.now();
		const selection = tries < mostTries ? selector.choose(question) : undefined;
		metrics.timing('gateway.decision', performance.now() - askedAt);
		if (selection === undefined) {
			record.recordNoEndpoint(tries, selector.getCooldownMs(request.pool));
			refuse(refusals.buildNoEndpoint(tries));
			return;
		}

		const admission = admitter.decide(selection, tries > 0);
		if (admission.kind === 'refuse') {
			refuse(refusals.buildOverloaded(selection.costMs, admission.retryAfterMs));
		} else {
			openAt(admission.kind === 'send-late' ? selector.choose({...question, urgency: rankUrgency(route, request.account, true)}) ?? selection : selection);
		}
	}

	function openAt(selection: Selection): void {
		tries++;
		tried.add(selection.endpoint.incarnation);
		const remainingMs = deadlineAt - performance.now();
		record.recordSent(selection, tries, remainingMs);
		startPatience(getPatience(route, request.isEnginePool ? selection.costMs : 0).firstMs);
		attempt = createAttempt({
			tools: options, request, question, selection, writer, record, remainingMs,
		}, events);
	}

	function answerCaller(answer: AttemptAnswer): void {
		attempt = undefined;
		// The timer goes last: an answer that cannot be written would otherwise stay open without end.
		writer.end(answer);
		closeTask('answered', answer.status);
	}

	function handleFailure(failure: AttemptFailure): void {
		patience.stop();
		attempt = undefined;
		writer.dropRest();
		// An attempt that never arrived takes nothing from the budget.
		const isAllowed = canRepeat({route, mayHaveRun: failure.mayHaveRun, runs});
		const isRetried = isAllowed && (arrivals === 0 || options.budget.spend(request.pool));
		record.recordFailure(failure, tries, isRetried);
		if (isRetried) {
			startAttempt();
		} else if (failure.answer !== undefined && !writer.isBegun()) {
			answerCaller(failure.answer);
		} else {
			refuse(refusals.buildFailure(failure.reason, runs > 0));
		}
	}

	startAttempt();

	return {
		cancel() {
			if (isOver) {
				return;
			}

			endAttempt('cancelled');
			closeTask('cancelled', 0);
		},
	};
}

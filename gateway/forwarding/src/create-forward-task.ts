import type {ValvesaddleError} from '@valvesaddle/error';
import type {Exchange, ExchangeListener, Flow} from '@valvesaddle/exchange';
import type {AnswerFacts} from '@valvesaddle/gateway-types';
import type {
	KnownEndpoint,
	OpenWork,
	Selection,
	SelectionQuestion,
} from '@valvesaddle/selection';
import type {AttemptAnswer} from './attempt-answer.ts';
import type {AttemptFailure} from './attempt-failure.ts';
import {canRepeat} from './can-repeat.ts';
import {createAdmitter} from './create-admitter.ts';
import {createAnswerWriter} from './create-answer-writer.ts';
import {createPatience} from './create-patience.ts';
import {createRefusals} from './create-refusals.ts';
import {createRequestRecord} from './create-request-record.ts';
import type {ForwardTask} from './forward-task.ts';
import type {ForwardTaskOptions} from './forward-task-options.ts';
import type {ForwarderOptions} from './forwarder-options.ts';
import {getPatience} from './get-patience.ts';
import {isRepeatable} from './is-repeatable.ts';
import {classifyAnswer} from './classify-answer.ts';
import {rankUrgency} from './rank-urgency.ts';

/**
Endpoints that may refuse or be unreachable, one after the other, before the caller is told so.
*/
const mostTries = 5;
/**
Largest answer that is held until it is whole, in bytes.
*/
const largestWholeBytes = 8 * 1024 * 1024;
/**
 Starts to carry a request to one final answer. The task owns its timers and the exchange that is under way.

 @example
 const task = createForwardTask(options, {request, reply, onOver() {}});
 task.cancel();
 */
export function createForwardTask(options: ForwarderOptions, {request, reply, onOver}: ForwardTaskOptions): ForwardTask {
	const {selector, exchanges, wire, metrics} = options;
	const {facts, route} = request;
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
	let exchange: Exchange | undefined;
	let work: OpenWork | undefined;
	let isBegun = false;

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
		options.onBegun?.(request.account?.name ?? '', at);
	}

	function refuse(error: ValvesaddleError): void {
		if (writer.isBegun()) {
			closeTask('broken-off', 0);
			reply.cut();
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
		exchange?.abort();
		exchange = undefined;
		work?.close(end);
		work = undefined;
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
		work = selector.open(selection, question);
		work.onSilent(() => {
			moveElsewhere('silent to all nodes');
		});
		work.onEnded(() => {
			moveElsewhere('its process has ended');
		});
		sendTo(selection, work);
	}

	function sendTo(selection: Selection, opened: OpenWork): void {
		const {endpoint, costMs} = selection;
		const remainingMs = deadlineAt - performance.now();
		record.recordSent(selection, tries, remainingMs);
		startPatience(getPatience(route, request.isEnginePool ? costMs : 0).firstMs);
		exchange = exchanges.send({
			address: endpoint.address,
			canSend: () => selector.canTake(endpoint),
			method: request.method,
			path: request.path,
			body: request.body,
			headers: wire.writeRequest(request.rawHeaders, {
				endpoint: endpoint.id,
				account: request.account?.name,
				remainingMs,
				urgency: request.isEnginePool ? selection.urgency : undefined,
				lastEventId: writer.lastEventId(),
			}),
		}, createListener(endpoint, opened));
	}

	/**
	An endpoint may say of itself, in any answer, that it wants no requests for some time or that it leaves.
	*/
	function applyNotice(endpoint: KnownEndpoint, status: number, {requestId, retryAfterMs, isLeaving: saysLeaving}: AnswerFacts): void {
		// A cooldown ends by itself; that an endpoint leaves is believed only of an answer that is surely its own.
		const notice = {retryAfterMs, isLeaving: saysLeaving && requestId === facts.requestId};
		if (retryAfterMs === undefined && !notice.isLeaving) {
			return;
		}

		selector.applyNotice(endpoint.incarnation, notice);
		record.recordNotice(endpoint, status, notice);
	}

	function createListener(endpoint: KnownEndpoint, opened: OpenWork): ExchangeListener {
		let answer: AttemptAnswer | undefined;
		let wasSent = false;
		let sentAt = 0;

		return {
			onSent() {
				wasSent = true;
				sentAt = performance.now();
				runs++;
				arrivals++;
			},
			onHead(status, headers) {
				const said = wire.readAnswer(status, headers);
				applyNotice(endpoint, status, said);
				const verdict = classifyAnswer(status, said, facts.requestId);
				answer = {
					status, headers, verdict, pieces: [], bytes: 0,
				};
				if (verdict === 'stream') {
					writer.begin(answer);
				} else if (verdict === 'untrusted') {
					// What follows on the connection cannot be told apart from other answers.
					endAttempt('failed');
					handleFailure({reason: `untrusted answer ${status}`, mayHaveRun: true});
				}
			},
			onData(chunk) {
				opened.markPiece();
				record.recordPiece();
				if (answer?.verdict === 'stream') {
					markBegun(performance.now());
				}

				if (route.kind === 'stream') {
					startPatience(pauseMs);
				}

				return answer === undefined ? 'more' : takeData(answer, chunk);
			},
			onEnd() {
				if (answer?.verdict === 'whole' || answer?.verdict === 'run-failed') {
					markBegun(sentAt);
				}

				if (answer !== undefined) {
					handleEnd(answer, opened);
				}
			},
			onFailure(error) {
				opened.close(classifyFailure(endpoint, wasSent));
				handleFailure({reason: error.message, mayHaveRun: wasSent});
			},
		};
	}

	/**
	A request that was held back since its endpoint takes none says nothing against the endpoint.
	*/
	function classifyFailure(endpoint: KnownEndpoint, wasSent: boolean): Parameters<OpenWork['close']>[0] {
		if (wasSent) {
			return 'failed';
		}

		return selector.canTake(endpoint) ? 'gone' : 'cancelled';
	}

	function takeData(answer: AttemptAnswer, chunk: Uint8Array): Flow {
		if (answer.verdict === 'stream') {
			return writePiece(chunk);
		}

		answer.bytes += chunk.length;
		if (answer.bytes > largestWholeBytes) {
			endAttempt('failed');
			handleFailure({reason: `answer of over ${largestWholeBytes} bytes`, mayHaveRun: true});
			return 'more';
		}

		answer.pieces.push(chunk);
		return 'more';
	}

	function writePiece(chunk: Uint8Array): Flow {
		if (writer.write(chunk)) {
			return 'more';
		}

		const paused = exchange;
		// A caller that reads slowly says nothing about the endpoint.
		patience.stop();
		work?.markPaused();
		writer.onDrain(() => {
			paused?.resume();
		});
		return 'pause';
	}

	function handleEnd(answer: AttemptAnswer, opened: OpenWork): void {
		if (answer.verdict === 'not-run' || answer.verdict === 'misdirected') {
			runs--;
			opened.close(answer.verdict === 'misdirected' ? 'gone' : 'rejected');
			handleFailure({reason: `refused with ${answer.status}`, mayHaveRun: false});
		} else if (answer.verdict === 'run-failed') {
			opened.close('failed');
			handleFailure({reason: `failed with ${answer.status}`, mayHaveRun: true, answer});
		} else if (answer.verdict === 'stream' && writer.hasRest()) {
			opened.close('failed');
			handleFailure({reason: 'the stream ended within an event', mayHaveRun: true});
		} else if (answer.verdict === 'whole' && writer.isBegun()) {
			// The caller has the head of a stream already, which nothing but a stream can go on with.
			opened.close('failed');
			handleFailure({reason: `a stream went on as a whole answer ${answer.status}`, mayHaveRun: true});
		} else {
			opened.close('done');
			answerCaller(answer);
		}
	}

	function answerCaller(answer: AttemptAnswer): void {
		exchange = undefined;
		// The timer goes last: an answer that cannot be written would otherwise stay open without end.
		writer.end(answer);
		closeTask('answered', answer.status);
	}

	function handleFailure(failure: AttemptFailure): void {
		patience.stop();
		exchange = undefined;
		work = undefined;
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

import {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders} from 'node:http';
import {ValvesaddleError} from '@valvesaddle/error';
import {createEventRelay, type Exchange} from '@valvesaddle/exchange';
import type {OpenWork, Selection, SelectionQuestion} from '@valvesaddle/selection';
import type {ForwardTask} from './forward-task.ts';
import type {ForwardTaskOptions} from './forward-task-options.ts';
import type {ForwarderOptions} from './forwarder-options.ts';
import {isRepeatable} from './is-repeatable.ts';
import {judgeAnswer} from './judge-answer.ts';
import type {Verdict} from './verdict.ts';

/**
Endpoints that may refuse or be unreachable, one after the other, before the caller is told so.
*/
const mostTries = 5;
/**
Largest answer that is held until it is whole, in bytes.
*/
const largestWholeBytes = 8 * 1024 * 1024;
/**
When a caller may come back, in milliseconds, as long as no measured wait says better.
*/
const comeBackMs = 300;

/**
Part of the latency objective after which an endpoint that has not begun to answer is taken for stuck.
*/
const patienceShare = 0.6;
/**
Factor on the predicted time to the first byte below which an endpoint is never taken for stuck.
*/
const patienceFactor = 3;
/**
Pauses within a stream, in pause objectives and in milliseconds, after which its endpoint is taken for stuck.
*/
const stuckPauses = 4;
const leastStuckMs = 700;

/**
Another instance has taken over the address.
*/
const misdirectedStatus = 421;

type Answer = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly verdict: Verdict;
	readonly pieces: Uint8Array[];
	bytes: number;
};

type Failure = {
	readonly reason: string;
	/**
	Whether the endpoint may have begun to run the request.
	*/
	readonly mayHaveRun: boolean;
	/**
	An endpoint's own failure, passed on when no other try is left.
	*/
	readonly answer?: Answer | undefined;
};

/**
 Starts to carry a request to one final answer. The task owns its timer and the exchange that is under way.

 @example
 const task = createForwardTask(options, {request, reply, onOver() {}});
 task.cancel();
 */
export function createForwardTask(options: ForwarderOptions, {request, reply, onOver}: ForwardTaskOptions): ForwardTask {
	const {selector, exchanges, wire, logger, metrics} = options;
	const {facts, route} = request;
	const id = facts.requestId ?? '-';
	const deadlineAt = request.arrivedAt + Math.min(route.timeoutMs, facts.waitMs ?? Infinity);
	const relay = route.kind === 'stream' && route.isResumable ? createEventRelay(facts.lastEventId) : undefined;
	const tried = new Set<string>();
	const question: SelectionQuestion = {
		pool: request.pool, objectiveMs: route.latencyObjectiveMs, promptTokens: facts.promptTokens, parts: facts.parts, tried,
	};
	let tries = 0;
	let runs = 0;
	let arrivals = 0;
	let isOver = false;
	let isBegun = false;
	let firstByteMs: number | undefined;
	let lastPieceAt = 0;
	let longestPauseMs = 0;
	let exchange: Exchange | undefined;
	let work: OpenWork | undefined;
	let patience: NodeJS.Timeout | undefined;

	const timer = setTimeout(handleDeadline, Math.max(0, deadlineAt - performance.now()));

	function closeTask(outcome: string, status: number): void {
		isOver = true;
		clearTimeout(timer);
		clearTimeout(patience);
		const elapsedMs = Math.round(performance.now() - request.arrivedAt);
		metrics.increment('gateway.ended', 1, {outcome});
		metrics.timing('gateway.total', elapsedMs);
		logger.info({
			name: 'request-ended', request: id, route: route.name, outcome, status, elapsedMs, firstByteMs, longestPauseMs: Math.round(longestPauseMs), tries, runs,
		});
		onOver();
	}

	function refuse(error: ValvesaddleError): void {
		if (isBegun) {
			closeTask('broken-off', 0);
			reply.cut();
			return;
		}

		closeTask(error.code, error.traits.status);
		reply.refuse(error);
	}

	function handleDeadline(): void {
		const wasSent = runs > 0;
		stopAttempt('cancelled');
		refuse(wasSent
			? new ValvesaddleError('ERR_VALVESADDLE_TIMEOUT', `no answer after ${Math.round(deadlineAt - request.arrivedAt)} ms`)
			: new ValvesaddleError('ERR_VALVESADDLE_TIMEOUT_UNSENT', 'not sent in time', {retryAfterMs: comeBackMs}));
	}

	/**
	Gives an endpoint some time for its next byte; a request that may be repeated then goes elsewhere.
	*/
	function startPatience(milliseconds: number): void {
		clearTimeout(patience);
		if (isRepeatable(route)) {
			patience = setTimeout(() => {
				if (canTryAgain()) {
					stopAttempt('failed');
					handleFailure({reason: `silent for ${Math.round(milliseconds)} ms`, mayHaveRun: true});
				}
			}, milliseconds);
		}
	}

	function canTryAgain(): boolean {
		return runs < route.maximumAttempts && selector.choose(question) !== undefined;
	}

	function stopAttempt(end: 'failed' | 'cancelled'): void {
		clearTimeout(patience);
		exchange?.abort();
		exchange = undefined;
		work?.close(end);
		work = undefined;
	}

	function startAttempt(): void {
		const selection = tries < mostTries ? selector.choose(question) : undefined;
		if (selection === undefined) {
			refuse(new ValvesaddleError(tries === 0 ? 'ERR_VALVESADDLE_NO_ENDPOINT' : 'ERR_VALVESADDLE_ENDPOINTS_BUSY', `${tries} of ${request.pool} tried`, {retryAfterMs: comeBackMs}));
			return;
		}

		tries++;
		tried.add(selection.endpoint.id);
		work = selector.open(selection, question);
		sendTo(selection, work);
	}

	function sendTo(selection: Selection, opened: OpenWork): void {
		const {endpoint} = selection;
		const remainingMs = deadlineAt - performance.now();
		let answer: Answer | undefined;
		let wasSent = false;
		logger.info({
			name: 'request-sent', request: id, endpoint: endpoint.id, pool: request.pool, attempt: tries, version: request.version,
			candidates: selection.candidates, costMs: Math.round(selection.costMs), heldTokens: selection.heldTokens, remainingMs: Math.round(remainingMs),
		});
		startPatience(Math.max(patienceShare * route.latencyObjectiveMs, request.isEnginePool ? patienceFactor * selection.costMs : 0));
		exchange = exchanges.send({
			address: endpoint.address,
			method: request.method,
			path: request.path,
			body: request.body,
			headers: wire.writeRequest(request.rawHeaders, {
				endpoint: endpoint.id,
				account: request.account?.name,
				remainingMs,
				urgency: request.isEnginePool ? request.account?.priority ?? route.priority : undefined,
				lastEventId: isBegun ? relay?.lastEventId() ?? -1 : -1,
			}),
		}, {
			onSent() {
				wasSent = true;
				runs++;
				arrivals++;
			},
			onHead(status, headers) {
				const verdict = judgeAnswer(status, wire.readAnswer(status, headers), facts.requestId);
				answer = {
					status, headers, verdict, pieces: [], bytes: 0,
				};
				if (verdict === 'stream') {
					beginStream(answer);
				} else if (verdict === 'untrusted') {
					// What follows on the connection cannot be told apart from other answers.
					stopAttempt('failed');
					handleFailure({reason: `untrusted answer ${status}`, mayHaveRun: true});
				}
			},
			onData(chunk) {
				opened.markBegun();
				if (route.kind === 'stream') {
					startPatience(Math.max(leastStuckMs, stuckPauses * route.pauseObjectiveMs));
				}

				recordPiece();
				return answer === undefined || takeData(answer, chunk);
			},
			onEnd() {
				if (answer !== undefined) {
					handleEnd(answer, opened);
				}
			},
			onFailure(error) {
				opened.close(wasSent ? 'failed' : 'gone');
				handleFailure({reason: error.message, mayHaveRun: wasSent});
			},
		});
	}

	function recordPiece(): void {
		const now = performance.now();
		if (firstByteMs === undefined) {
			firstByteMs = Math.round(now - request.arrivedAt);
			metrics.timing('gateway.first-byte', firstByteMs);
		} else {
			longestPauseMs = Math.max(longestPauseMs, now - lastPieceAt);
		}

		lastPieceAt = now;
	}

	function beginStream(answer: Answer): void {
		if (isBegun) {
			return;
		}

		isBegun = true;
		reply.begin(answer.status, wire.writeAnswer(answer.headers));
	}

	function takeData(answer: Answer, chunk: Uint8Array): boolean {
		if (answer.verdict === 'stream') {
			const bytes = relay === undefined ? chunk : relay.push(chunk).bytes;
			return bytes.length === 0 || writePiece(bytes);
		}

		answer.bytes += chunk.length;
		if (answer.bytes > largestWholeBytes) {
			stopAttempt('failed');
			handleFailure({reason: `answer of over ${largestWholeBytes} bytes`, mayHaveRun: true});
			return true;
		}

		answer.pieces.push(chunk);
		return true;
	}

	function writePiece(bytes: Uint8Array): boolean {
		if (reply.write(bytes)) {
			return true;
		}

		const paused = exchange;
		reply.onDrain(() => {
			paused?.resume();
		});
		return false;
	}

	function handleEnd(answer: Answer, opened: OpenWork): void {
		clearTimeout(patience);
		exchange = undefined;
		work = undefined;
		if (answer.verdict === 'not-run') {
			runs--;
			opened.close(answer.status === misdirectedStatus ? 'gone' : 'rejected');
			handleFailure({reason: `refused with ${answer.status}`, mayHaveRun: false});
		} else if (answer.verdict === 'run-failed') {
			opened.close('failed');
			handleFailure({reason: `failed with ${answer.status}`, mayHaveRun: true, answer});
		} else if (answer.verdict === 'stream' && relay?.hasRest() === true) {
			opened.close('failed');
			handleFailure({reason: 'the stream ended within an event', mayHaveRun: true});
		} else {
			opened.close('done');
			passOn(answer);
		}
	}

	function passOn(answer: Answer): void {
		closeTask('answered', answer.status);
		if (answer.verdict === 'stream') {
			reply.end();
		} else {
			reply.answer(answer.status, wire.writeAnswer(answer.headers), Buffer.concat(answer.pieces));
		}
	}

	function handleFailure(failure: Failure): void {
		clearTimeout(patience);
		exchange = undefined;
		work = undefined;
		relay?.restart();
		const canRepeat = !failure.mayHaveRun || isRepeatable(route);
		const isRetried = canRepeat && runs < Math.max(1, route.maximumAttempts) && (arrivals === 0 || options.budget.spend(request.pool));
		metrics.increment(isRetried ? 'gateway.retries' : 'gateway.given-up');
		logger.info({
			name: 'attempt-failed', request: id, attempt: tries, reason: failure.reason, mayHaveRun: failure.mayHaveRun, isRetried,
		});
		if (isRetried) {
			startAttempt();
		} else if (failure.answer !== undefined && !isBegun) {
			passOn(failure.answer);
		} else {
			refuse(toRefusal(failure));
		}
	}

	function toRefusal(failure: Failure): ValvesaddleError {
		return runs > 0
			? new ValvesaddleError('ERR_VALVESADDLE_ENDPOINT_FAILED', failure.reason)
			: new ValvesaddleError('ERR_VALVESADDLE_ENDPOINTS_BUSY', failure.reason, {retryAfterMs: comeBackMs});
	}

	startAttempt();

	return {
		cancel() {
			if (isOver) {
				return;
			}

			stopAttempt('cancelled');
			closeTask('cancelled', 0);
		},
	};
}

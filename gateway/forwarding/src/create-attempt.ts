import {createChunkCollector} from '@valvesaddle/buffers';
import type {ValvesaddleError} from '@valvesaddle/error';
import type {Exchange} from '@valvesaddle/exchange';
import type {OpenRequest} from '@valvesaddle/selection';
import type {AnswerClass} from './answer-class.ts';
import {applyNotices} from './apply-notices.ts';
import type {AttemptAnswer} from './attempt-answer.ts';
import type {AttemptEvents} from './attempt-events.ts';
import type {AttemptOptions} from './attempt-options.ts';
import type {Attempt} from './attempt.ts';
import {classifyAnswer} from './classify-answer.ts';
import {createAnswerBody} from './create-answer-body.ts';
import {createCallerPace} from './create-caller-pace.ts';
import {createRestGuard} from './create-rest-guard.ts';
import type {FailureCause} from './failure-cause.ts';
import {isConnectionRefused} from './is-connection-refused.ts';

/**
Whether an answer can be sent to the caller, whatever other attempts there are.
*/
function isAccepted(answerClass: AnswerClass): boolean {
	return answerClass === 'stream' || answerClass === 'whole';
}

/**
 Sends a request to the chosen endpoint, writes an event stream to the caller, and reports the outcome.

 @example
 const attempt = createAttempt({tools, request, question, selection, writer, recorder, crashes, remainingMs: 4000}, events);
 attempt.end('cancelled');
 */
export function createAttempt({tools, request, question, selection, writer, recorder, crashes, remainingMs}: AttemptOptions, events: AttemptEvents): Attempt {
	const {selector, exchanges, wire, crashDetector} = tools;
	const {metadata} = request;
	const {endpoint} = selection;
	const openRequest = selector.open(selection, question);
	let answer: AttemptAnswer | undefined;
	let sentAt: number | undefined;
	const pace = createCallerPace({
		writer,
		hold: request.hold,
		onPaused() {
			events.onPaused();
			openRequest.markPaused();
		},
		onResumed() {
			openRequest.markResumed();
			events.onResumed();
			exchange.resume();
		},
	});
	const body = createAnswerBody({
		request,
		writer,
		pace,
		onStreaming(streamed) {
			answer = streamed;
		},
		onTooLarge(reason) {
			failAttempt('too-large', reason);
		},
	});
	const rest = createRestGuard((current, reason) => {
		recorder.recordRestCut(endpoint, current, reason);
		exchange.abort();
		handleEnd(current, true);
	});

	openRequest.onStalled(() => {
		events.onEndpointLost('stalled', 'silent to all nodes');
	});
	openRequest.onEnded(() => {
		crashes.recordBroken(endpoint.incarnation);
		events.onEndpointLost('restarted', 'its process has ended');
	});

	function close(outcome: Parameters<OpenRequest['close']>[0]): void {
		pace.end();
		rest.stop();
		body.release();
		openRequest.close(outcome);
	}

	function end(outcome: 'failed' | 'cancelled'): void {
		exchange.abort();
		close(outcome);
	}

	/**
	Aborts an attempt whose answer cannot be used.
	*/
	function failAttempt(cause: FailureCause, reason: string): void {
		end('failed');
		events.onFailure({cause, reason, mayHaveRun: true});
	}

	/**
	Handles the end of an answer, or of what was read of one that is none.
	*/
	function handleEnd(completed: AttemptAnswer, isCut = false): void {
		const {answerClass, status} = completed;
		if (answerClass === 'not-run' || answerClass === 'misdirected') {
			close(answerClass === 'misdirected' ? 'gone' : 'rejected');
			events.onNotRun();
			events.onFailure({
				cause: 'refused', reason: `refused with ${status}`, mayHaveRun: false, isFull: answerClass === 'not-run',
			});
		} else if (answerClass === 'run-failed') {
			close('erred');
			events.onFailure({
				cause: 'failed', reason: `failed with ${status}`, mayHaveRun: true, answer: isCut ? undefined : completed,
			});
		} else if (answerClass === 'stream' && writer.hasPartialEvent()) {
			close('failed');
			events.onFailure({cause: 'truncated', reason: 'the stream ended within an event', mayHaveRun: true});
		} else if (answerClass === 'whole' && writer.isStarted()) {
			// The caller has already received the head of a stream, which only another stream can continue.
			close('failed');
			events.onFailure({cause: 'untrusted', reason: `a stream went on as a whole answer ${status}`, mayHaveRun: true});
		} else {
			close('done');
			events.onAnswer(completed);
		}
	}

	/**
	Whether the request may still be sent once a connection is open.
	*/
	function canSend(): boolean {
		return selector.canTake(endpoint) && !crashes.isQuarantined() && openRequest.canSend();
	}

	/**
	Outcome of a request that was not sent. If it was held back, that is not counted as a failure of the endpoint.
	*/
	function classifyUnsent(): Parameters<OpenRequest['close']>[0] {
		return canSend() ? 'gone' : 'cancelled';
	}

	function recordFailure(error: ValvesaddleError, wasSent: boolean): void {
		if (wasSent) {
			crashes.recordBroken(endpoint.incarnation);
		} else if (isConnectionRefused(error)) {
			crashDetector.recordEnded(endpoint.incarnation, 'refused');
		}
	}

	const exchange: Exchange = exchanges.send({
		address: endpoint.address,
		canSend,
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
	}, {
		onSent() {
			sentAt = performance.now();
			events.onSent();
		},
		onHead(status, headers) {
			const answerMetadata = wire.readAnswer(status, headers);
			applyNotices({
				selector, recorder, endpoint, requestId: metadata.requestId, status, answer: answerMetadata,
			});
			const answerClass = classifyAnswer(status, answerMetadata, {requestId: metadata.requestId, routeKind: request.route.kind});
			answer = {
				status, headers, answerClass, isEventStream: answerClass === 'stream', isFramed: answerMetadata.isFramed, body: createChunkCollector(),
			};
			if (isAccepted(answerClass)) {
				events.onAccepted();
			}

			if (answerClass === 'stream') {
				writer.start(answer);
			} else if (answerClass === 'untrusted') {
				// The rest of the data on this connection may belong to another request's answer.
				failAttempt('untrusted', `untrusted answer ${status}`);
			} else {
				rest.start(answer);
			}
		},
		onData(chunk) {
			openRequest.markChunk();
			recorder.recordChunk();
			if (answer?.answerClass === 'stream') {
				events.onStarted(performance.now());
			}

			if (answer !== undefined && isAccepted(answer.answerClass)) {
				events.onChunk();
			}

			if (answer === undefined) {
				return 'more';
			}

			const flow = body.add(answer, chunk);
			rest.check(answer);
			return flow;
		},
		onSlowed() {
			recorder.recordSlowed(endpoint);
		},
		onEnd() {
			if (answer === undefined) {
				return;
			}

			if (sentAt !== undefined && (answer.answerClass === 'whole' || answer.answerClass === 'run-failed')) {
				events.onStarted(sentAt);
			}

			handleEnd(answer);
		},
		onFailure(error) {
			const wasSent = sentAt !== undefined;
			recordFailure(error, wasSent);
			close(wasSent ? 'failed' : classifyUnsent());
			events.onFailure({cause: wasSent ? 'connection' : 'unsent', reason: error.message, mayHaveRun: wasSent});
		},
	});

	return {end};
}

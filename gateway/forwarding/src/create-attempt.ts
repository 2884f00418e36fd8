import {Buffer} from 'node:buffer';
import type {ValvesaddleError} from '@valvesaddle/error';
import type {Exchange, Flow} from '@valvesaddle/exchange';
import type {AnswerMetadata} from '@valvesaddle/gateway-types';
import type {OpenRequest} from '@valvesaddle/selection';
import type {AnswerClass} from './answer-class.ts';
import type {AttemptAnswer} from './attempt-answer.ts';
import type {AttemptEvents} from './attempt-events.ts';
import type {AttemptOptions} from './attempt-options.ts';
import type {Attempt} from './attempt.ts';
import {classifyAnswer} from './classify-answer.ts';
import type {FailureCause} from './failure-cause.ts';
import {isConnectionRefused} from './is-connection-refused.ts';

/**
Largest answer that is buffered, in bytes. Larger ones are passed on as they come, as event streams are.
*/
const maximumBufferedBytes = 8 * 1024 * 1024;

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
	let isPaused = false;

	openRequest.onStalled(() => {
		events.onEndpointLost('stalled', 'silent to all nodes');
	});
	openRequest.onEnded(() => {
		crashes.recordBroken(endpoint.incarnation);
		events.onEndpointLost('restarted', 'its process has ended');
	});

	function end(outcome: 'failed' | 'cancelled'): void {
		isPaused = false;
		exchange.abort();
		openRequest.close(outcome);
	}

	/**
	Aborts an attempt whose answer cannot be used.
	*/
	function failAttempt(cause: FailureCause, reason: string): void {
		end('failed');
		events.onFailure({cause, reason, mayHaveRun: true});
	}

	/**
	Applies the cooldown or the draining signal that an endpoint may send with any answer.
	*/
	function applyNotice(status: number, {requestId, retryAfterMs, isLeaving: isDraining}: AnswerMetadata): void {
		// A cooldown expires by itself; a draining signal is accepted only with the request's own id.
		const notice = {retryAfterMs, isLeaving: isDraining && requestId === metadata.requestId};
		if (retryAfterMs === undefined && !notice.isLeaving) {
			return;
		}

		selector.applyNotice(endpoint.incarnation, notice);
		recorder.recordNotice(endpoint, status, notice);
	}

	/**
	Applies the limit that an endpoint names in its own answers to this request. An answer without one removes it.
	*/
	function applyLimit({requestId, isSigned, isNotRun, isMisdirected, requestLimit}: AnswerMetadata): void {
		const isOwn = requestId === metadata.requestId && (isSigned || isNotRun) && !isMisdirected;
		if (isOwn && (requestLimit === 'invalid' || selector.didSetLimit(endpoint.incarnation, requestLimit))) {
			recorder.recordLimit(endpoint, requestLimit);
		}
	}

	function handleData(current: AttemptAnswer, chunk: Uint8Array): Flow {
		if (current.answerClass === 'stream') {
			return writeChunk(chunk);
		}

		current.bytes += chunk.length;
		current.chunks.push(chunk);
		if (current.bytes <= maximumBufferedBytes) {
			return 'more';
		}

		if (current.answerClass === 'whole' && request.route.kind !== 'stream') {
			return startStreaming(current);
		}

		failAttempt('too-large', `answer of over ${maximumBufferedBytes} bytes`);
		return 'more';
	}

	/**
	Sends a whole answer that is too large to be buffered to the caller as it comes.
	*/
	function startStreaming(current: AttemptAnswer): Flow {
		const bytes = Buffer.concat(current.chunks);
		answer = {...current, answerClass: 'stream', chunks: []};
		writer.start(answer);
		return writeChunk(bytes);
	}

	function writeChunk(chunk: Uint8Array): Flow {
		if (writer.write(chunk)) {
			return 'more';
		}

		events.onPaused();
		openRequest.markPaused();
		isPaused = true;
		writer.onDrain(handleDrain);
		return 'pause';
	}

	/**
	Goes on after a pause, unless the attempt has ended meanwhile.
	*/
	function handleDrain(): void {
		if (!isPaused) {
			return;
		}

		isPaused = false;
		openRequest.markResumed();
		events.onResumed();
		exchange.resume();
	}

	function handleEnd(completed: AttemptAnswer): void {
		const {answerClass, status} = completed;
		if (answerClass === 'not-run' || answerClass === 'misdirected') {
			openRequest.close(answerClass === 'misdirected' ? 'gone' : 'rejected');
			events.onNotRun();
			events.onFailure({
				cause: 'refused', reason: `refused with ${status}`, mayHaveRun: false, isFull: answerClass === 'not-run',
			});
		} else if (answerClass === 'run-failed') {
			openRequest.close('failed');
			events.onFailure({
				cause: 'failed', reason: `failed with ${status}`, mayHaveRun: true, answer: completed,
			});
		} else if (answerClass === 'stream' && writer.hasPartialEvent()) {
			openRequest.close('failed');
			events.onFailure({cause: 'truncated', reason: 'the stream ended within an event', mayHaveRun: true});
		} else if (answerClass === 'whole' && writer.isStarted()) {
			// The caller has already received the head of a stream, which only another stream can continue.
			openRequest.close('failed');
			events.onFailure({cause: 'untrusted', reason: `a stream went on as a whole answer ${status}`, mayHaveRun: true});
		} else {
			openRequest.close('done');
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
			applyNotice(status, answerMetadata);
			applyLimit(answerMetadata);
			const answerClass = classifyAnswer(status, answerMetadata, metadata.requestId);
			answer = {
				status, headers, answerClass, chunks: [], bytes: 0,
			};
			if (isAccepted(answerClass)) {
				events.onAccepted();
			}

			if (answerClass === 'stream') {
				writer.start(answer);
			} else if (answerClass === 'untrusted') {
				// The rest of the data on this connection may belong to another request's answer.
				failAttempt('untrusted', `untrusted answer ${status}`);
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

			return answer === undefined ? 'more' : handleData(answer, chunk);
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
			isPaused = false;
			const wasSent = sentAt !== undefined;
			recordFailure(error, wasSent);
			openRequest.close(wasSent ? 'failed' : classifyUnsent());
			events.onFailure({cause: wasSent ? 'connection' : 'unsent', reason: error.message, mayHaveRun: wasSent});
		},
	});

	return {end};
}

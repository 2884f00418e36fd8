import type {Exchange, Flow} from '@valvesaddle/exchange';
import type {AnswerFacts} from '@valvesaddle/gateway-types';
import type {OpenWork} from '@valvesaddle/selection';
import type {AttemptAnswer} from './attempt-answer.ts';
import type {AttemptEvents} from './attempt-events.ts';
import type {AttemptOptions} from './attempt-options.ts';
import type {Attempt} from './attempt.ts';
import {classifyAnswer} from './classify-answer.ts';

/**
Largest answer that is held until it is whole, in bytes.
*/
const maximumBufferedBytes = 8 * 1024 * 1024;

/**
 Sends a request to the endpoint that was chosen, writes what is a stream to the caller, and tells what became of it.

 @example
 const attempt = createAttempt({tools, request, question, selection, writer, record, remainingMs: 4000}, events);
 attempt.end('cancelled');
 */
export function createAttempt({tools, request, question, selection, writer, recorder: record, remainingMs}: AttemptOptions, events: AttemptEvents): Attempt {
	const {selector, exchanges, wire} = tools;
	const {metadata: facts} = request;
	const {endpoint} = selection;
	const openRequest = selector.open(selection, question);
	let answer: AttemptAnswer | undefined;
	let sentAt: number | undefined;

	openRequest.onSilent(() => {
		events.onEndpointLost('silent to all nodes');
	});
	openRequest.onEnded(() => {
		events.onEndpointLost('its process has ended');
	});

	function end(outcome: 'failed' | 'cancelled'): void {
		exchange.abort();
		openRequest.close(outcome);
	}

	/**
	Ends an attempt whose answer cannot be used, though the endpoint goes on with it.
	*/
	function failAttempt(reason: string): void {
		end('failed');
		events.onFailure({reason, mayHaveRun: true});
	}

	/**
	An endpoint may say of itself, in any answer, that it wants no requests for some time or that it leaves.
	*/
	function applyNotice(status: number, {requestId, retryAfterMs, isLeaving: saysLeaving}: AnswerFacts): void {
		// A cooldown ends by itself; that an endpoint leaves is believed only of an answer that is surely its own.
		const notice = {retryAfterMs, isLeaving: saysLeaving && requestId === facts.requestId};
		if (retryAfterMs === undefined && !notice.isLeaving) {
			return;
		}

		selector.applyNotice(endpoint.incarnation, notice);
		record.recordNotice(endpoint, status, notice);
	}

	function handleData(current: AttemptAnswer, chunk: Uint8Array): Flow {
		if (current.answerClass === 'stream') {
			return writeChunk(chunk);
		}

		current.bytes += chunk.length;
		if (current.bytes > maximumBufferedBytes) {
			failAttempt(`answer of over ${maximumBufferedBytes} bytes`);
			return 'more';
		}

		current.chunks.push(chunk);
		return 'more';
	}

	function writeChunk(chunk: Uint8Array): Flow {
		if (writer.write(chunk)) {
			return 'more';
		}

		events.onPaused();
		openRequest.markPaused();
		writer.onDrain(() => {
			exchange.resume();
		});
		return 'pause';
	}

	function handleEnd(completed: AttemptAnswer): void {
		const {answerClass: verdict, status} = completed;
		if (verdict === 'not-run' || verdict === 'misdirected') {
			openRequest.close(verdict === 'misdirected' ? 'gone' : 'rejected');
			events.onNotRun();
			events.onFailure({reason: `refused with ${status}`, mayHaveRun: false});
		} else if (verdict === 'run-failed') {
			openRequest.close('failed');
			events.onFailure({reason: `failed with ${status}`, mayHaveRun: true, answer: completed});
		} else if (verdict === 'stream' && writer.hasPartialEvent()) {
			openRequest.close('failed');
			events.onFailure({reason: 'the stream ended within an event', mayHaveRun: true});
		} else if (verdict === 'whole' && writer.isStarted()) {
			// The caller has the head of a stream already, which nothing but a stream can go on with.
			openRequest.close('failed');
			events.onFailure({reason: `a stream went on as a whole answer ${status}`, mayHaveRun: true});
		} else {
			openRequest.close('done');
			events.onAnswer(completed);
		}
	}

	/**
	A request that was held back since its endpoint takes none says nothing against the endpoint.
	*/
	function classifyUnsent(): Parameters<OpenWork['close']>[0] {
		return selector.canTake(endpoint) ? 'gone' : 'cancelled';
	}

	const exchange: Exchange = exchanges.send({
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
	}, {
		onSent() {
			sentAt = performance.now();
			events.onSent();
		},
		onHead(status, headers) {
			const answerMetadata = wire.readAnswer(status, headers);
			applyNotice(status, answerMetadata);
			const verdict = classifyAnswer(status, answerMetadata, facts.requestId);
			answer = {
				status, headers, answerClass: verdict, chunks: [], bytes: 0,
			};
			if (verdict === 'stream') {
				writer.start(answer);
			} else if (verdict === 'untrusted') {
				// What follows on the connection cannot be told apart from other answers.
				failAttempt(`untrusted answer ${status}`);
			}
		},
		onData(chunk) {
			openRequest.markPiece();
			record.recordChunk();
			if (answer?.answerClass === 'stream') {
				events.onStarted(performance.now());
			}

			events.onChunk();
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
			const wasSent = sentAt !== undefined;
			openRequest.close(wasSent ? 'failed' : classifyUnsent());
			events.onFailure({reason: error.message, mayHaveRun: wasSent});
		},
	});

	return {end};
}

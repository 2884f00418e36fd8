import type {Flow} from '@valvesaddle/exchange';
import type {AnswerBody} from './answer-body.ts';
import type {AnswerWriter} from './answer-writer.ts';
import type {AttemptAnswer} from './attempt-answer.ts';
import type {CallerPace} from './caller-pace.ts';
import type {ForwardRequest} from './forward-request.ts';

type AnswerBodyOptions = {
	readonly request: Pick<ForwardRequest, 'route' | 'hold'>;
	readonly writer: Pick<AnswerWriter, 'start' | 'countPartialBytes'>;
	readonly pace: CallerPace;
	/**
	A whole answer is sent to the caller as it comes from now on.
	*/
	readonly onStreaming: (answer: AttemptAnswer) => void;
	/**
	The answer cannot be used, since it is too large to be kept and cannot be passed on.
	*/
	readonly onTooLarge: (reason: string) => void;
};

/**
Largest answer that is buffered, in bytes. Larger ones are passed on as they come, as event streams are.
*/
const maximumBufferedBytes = 8 * 1024 * 1024;
/**
Largest event of a resumable stream, of which only whole events are passed on, in bytes.
*/
const maximumEventBytes = 1024 * 1024;
/**
Bytes of an answer that are kept even if there is no memory: what is in transit anyway.
*/
const crowdedBytes = 64 * 1024;

/**
 Creates the taker of an answer's body. Answers the load of many large answers at once: an account that holds its part of the node's
 memory has its whole answers passed on as they come, at the pace of its callers, instead of being kept.

 @example
 const body = createAnswerBody({request, writer, pace, onStreaming(answer) {}, onTooLarge(reason) {}});
 body.add(answer, chunk); // 'more'
 */
export function createAnswerBody({request, writer, pace, onStreaming, onTooLarge}: AnswerBodyOptions): AnswerBody {
	const {route, hold} = request;
	let receivedBytes = 0;

	function setReceived(bytes: number): void {
		hold?.add('received', bytes - receivedBytes);
		receivedBytes = bytes;
	}

	function isCrowded(bytes: number): boolean {
		return bytes > crowdedBytes && hold?.hasRoom(0) === false;
	}

	function writeOn(chunk: Uint8Array): Flow {
		const flow = pace.write(chunk);
		const partialBytes = writer.countPartialBytes();
		setReceived(partialBytes);
		if (partialBytes <= maximumEventBytes && !isCrowded(partialBytes)) {
			return flow;
		}

		onTooLarge(`an event of over ${partialBytes} bytes`);
		return 'more';
	}

	function startStreaming(answer: AttemptAnswer): Flow {
		const bytes = answer.body.take();
		const streamed: AttemptAnswer = {...answer, answerClass: 'stream'};
		onStreaming(streamed);
		writer.start(streamed);
		return writeOn(bytes);
	}

	return {
		add(answer, chunk) {
			if (answer.answerClass === 'stream') {
				return writeOn(chunk);
			}

			answer.body.push(chunk);
			const bytes = answer.body.countBytes();
			setReceived(answer.body.measureHeld());
			if (bytes <= maximumBufferedBytes && !isCrowded(bytes)) {
				return 'more';
			}

			if (answer.answerClass === 'whole' && route.kind !== 'stream') {
				return startStreaming(answer);
			}

			if (bytes > maximumBufferedBytes) {
				onTooLarge(`answer of over ${maximumBufferedBytes} bytes`);
			}

			return 'more';
		},
		release() {
			setReceived(0);
		},
	};
}

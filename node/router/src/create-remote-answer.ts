import type {AnswerPage, AnswerSource} from '@valvesaddle/answers';
import type {PeerNetwork} from '@valvesaddle/network';
import type {AnswerMessage} from './answer-message.ts';
import {answerPageSchema} from './answer-page-schema.ts';
import {callHolder} from './call-holder.ts';

type RemoteAnswerOptions = {
	readonly network: PeerNetwork;
	/**
	Node that holds the answer.
	*/
	readonly holder: string;
	readonly requestId: string;
	readonly account: string;
	/**
	First message of the answer, if it was read already.
	*/
	readonly first?: unknown;
};

/**
 Creates a source that reads an answer from the node that holds it. A page is read again after a link broke. When that node
 is lost, the answer ends with an error that says the request may have run.

 @example
 const {parts, end} = await createRemoteAnswer({network, holder: 'b1', requestId, account}).read(0);
 */
export function createRemoteAnswer({network, holder, requestId, account, first}: RemoteAnswerOptions): AnswerSource {
	let firstMessage = first === undefined ? undefined : parseMessage(first);
	let readers = 0;
	let isLeft = false;

	/**
	Takes the first message, if it has anything after the offset.
	*/
	function takeFirst(offset: number): AnswerMessage | undefined {
		const taken = firstMessage;
		firstMessage = undefined;
		const isUseful = taken !== undefined && (taken.end !== undefined || taken.parts.length > offset);
		return isUseful ? {...taken, parts: taken.parts.slice(offset)} : undefined;
	}

	async function readMessage(offset: number, replyOffset: number): Promise<AnswerMessage> {
		const known = takeFirst(offset);
		if (known !== undefined) {
			return known;
		}

		const result = await callHolder({
			network, holder, requestId, account, offset, replyOffset, hasLeft: () => isLeft,
		});
		const message = result.isOk() ? parseMessage(result.value) : undefined;
		if (message !== undefined) {
			return message;
		}

		const reason = result.isErr() ? result.error.message : 'the page has an unknown form';
		return {
			parts: [],
			replyRest: 0,
			end: {
				kind: 'error', code: 'ERR_VALVESADDLE_MAY_HAVE_RUN', message: `the answer on ${holder} cannot be read: ${reason}`, ran: 'maybe', retryAfterMs: undefined,
			},
		};
	}

	/**
	Reads a page, with the whole reply if it ends with one: the holder sends a long one in several messages.
	*/
	async function readPage(offset: number): Promise<AnswerPage> {
		let body = '';
		for (;;) {
			// eslint-disable-next-line no-await-in-loop -- slices of a reply are read in order
			const {parts, end, replyRest} = await readMessage(offset, body.length);
			if (end?.kind !== 'reply') {
				return {parts, end};
			}

			if (isLeft) {
				return {parts, end: undefined};
			}

			body += end.reply.body;
			if (replyRest === 0) {
				return {parts, end: {kind: 'reply', reply: {...end.reply, body}}};
			}
		}
	}

	return {
		requestId,
		async read(offset) {
			for (;;) {
				// eslint-disable-next-line no-await-in-loop -- an empty page means that no part has arrived yet
				const page = await readPage(offset);
				// The holder does not abandon an answer that is read, so reading ends with its last reader.
				if (isLeft || page.parts.length > 0 || page.end !== undefined) {
					return page;
				}
			}
		},
		attach() {
			readers++;
			isLeft = false;
		},
		detach() {
			readers--;
			isLeft = readers === 0;
		},
	};
}

function parseMessage(value: unknown): AnswerMessage | undefined {
	const parsed = answerPageSchema.safeParse(value);
	return parsed.success ? parsed.data : undefined;
}

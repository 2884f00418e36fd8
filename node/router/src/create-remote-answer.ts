import type {AnswerPage, AnswerSource} from '@valvesaddle/answers';
import type {PeerNetwork} from '@valvesaddle/network';
import type * as z from 'zod';
import {answerPageSchema} from './answer-page-schema.ts';
import {callHolder} from './call-holder.ts';

type Message = z.output<typeof answerPageSchema>;

type RemoteAnswerOptions = {
	readonly network: PeerNetwork;
	/**
	Node that holds the answer.
	*/
	readonly holder: string;
	readonly requestId: string;
	readonly account: string;
};

/**
 Creates a source that reads an answer from the node that holds it. A page is read again after a link broke. When that node
 is lost, the answer ends with an error that says the request may have run.

 @example
 const {parts, end} = await createRemoteAnswer({network, holder: 'b1', requestId, account}).read(0);
 */
export function createRemoteAnswer({network, holder, requestId, account}: RemoteAnswerOptions): AnswerSource {
	let readers = 0;
	let isLeft = false;

	async function readMessage(offset: number, replyOffset: number): Promise<Message> {
		const result = await callHolder({
			network, holder, requestId, account, offset, replyOffset, hasLeft: () => isLeft,
		});
		const page = result.isOk() ? answerPageSchema.safeParse(result.value) : undefined;
		if (page?.success) {
			return page.data;
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

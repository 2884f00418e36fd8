import type {AnswerEnd} from '@valvesaddle/answers';
import type {AnswerMessage} from './answer-message.ts';

/**
Characters of a reply in one message. Each takes at most three bytes, so a slice is no larger than a page.
*/
const sliceLength = 21_000;

type ReplyEnd = Extract<AnswerEnd, {readonly kind: 'reply'}>;

/**
 Truncates the reply of a plain service to what one message to another node may hold.

 @param end - End of the answer.
 @param replyOffset - Number of characters of the reply that the reader has.
 @example
 fitReply(end, 0).replyRest; // 979000 of a million characters
 */
export function fitReply(end: ReplyEnd, replyOffset: number): AnswerMessage {
	const {reply} = end;
	const body = reply.body.slice(replyOffset, replyOffset + sliceLength);
	return {parts: [], end: {kind: 'reply', reply: {...reply, body}}, replyRest: Math.max(0, reply.body.length - replyOffset - sliceLength)};
}

import type {AnswerEnd} from '@valvesaddle/answers';
import {headerNames} from './header-names.ts';
import type {ReplyContext} from './reply-context.ts';
import {sendError} from './send-error.ts';

/**
 Writes an answer as a single reply once it has ended: a chat completion, or a plain service's reply unchanged.

 @returns The end of kind `held` when another request holds the idempotency key; nothing is written then.
 @example
 await writeWholeReply(context);
 */
export async function writeWholeReply(context: ReplyContext): Promise<AnswerEnd | undefined> {
	const {response, source, isDisconnected} = context;
	const parts: string[] = [];
	let end: AnswerEnd | undefined;
	while (end === undefined && !isDisconnected()) {
		// eslint-disable-next-line no-await-in-loop -- parts are read in order
		const page = await source.read(parts.length);
		parts.push(...page.parts);
		end = page.end;
	}

	if (end === undefined || end.kind === 'held') {
		return end;
	}

	if (end.kind === 'error') {
		sendError(response, end, source.requestId);
		return undefined;
	}

	response.setHeader(headerNames.requestId, source.requestId);
	if (end.kind === 'reply') {
		response.writeHead(end.reply.status, {'content-type': end.reply.contentType});
		response.end(end.reply.body);
		return undefined;
	}

	response.writeHead(200, {'content-type': 'application/json'});
	response.end(JSON.stringify(toCompletion(context, parts, end)));
	return undefined;
}

function toCompletion({source, model}: ReplyContext, parts: readonly string[], end: Extract<AnswerEnd, {kind: 'complete'}>): unknown {
	return {
		id: source.requestId,
		object: 'chat.completion',
		model,
		choices: [{index: 0, message: mergeDeltas(parts), finish_reason: end.finishReason}],
		usage: {completion_tokens: end.tokens},
	};
}

function mergeDeltas(parts: readonly string[]): Readonly<Record<string, unknown>> {
	const message: Record<string, unknown> = {role: 'assistant', content: ''};
	for (const part of parts) {
		const delta = JSON.parse(part) as Record<string, unknown>;
		for (const [name, value] of Object.entries(delta)) {
			const before = message[name];
			if (name !== 'role') {
				message[name] = typeof value === 'string' && typeof before === 'string' ? before + value : value;
			}
		}
	}

	return message;
}

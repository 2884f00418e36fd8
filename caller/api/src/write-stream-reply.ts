import {once} from 'node:events';
import type {ServerResponse} from 'node:http';
import type {AnswerEnd} from '@valvesaddle/answers';
import {headerNames} from './header-names.ts';
import type {ReplyContext} from './reply-context.ts';
import {sendError} from './send-error.ts';
import {toErrorBody} from './to-error-body.ts';

const endOfStream = '[DONE]';

/**
 Writes an answer as server-sent events in the chat completions format. Each event's id holds the request id and the
 number of parts sent, so that the caller can resume through any node. Headers are sent with the first part, so that
 an error before it still gets its own status.

 @returns The end of kind `held` when another request holds the idempotency key; nothing is written then.
 @example
 await writeStreamReply(context);
 */
export async function writeStreamReply(context: ReplyContext): Promise<AnswerEnd | undefined> {
	const {response, source} = context;
	let {offset} = context;
	while (!context.isDisconnected()) {
		// eslint-disable-next-line no-await-in-loop -- parts are read in order
		const {parts, end} = await source.read(offset);
		if (end?.kind === 'held') {
			return end;
		}

		if (end?.kind === 'error' && !response.headersSent && parts.length === 0) {
			sendError(response, end, source.requestId);
			return undefined;
		}

		startStream(response, source.requestId);
		for (const part of parts) {
			offset++;
			// eslint-disable-next-line no-await-in-loop -- waits for a slow caller
			await write(response, formatEvent(context, offset, part));
		}

		if (end !== undefined) {
			endStream(context, offset, end);
			return undefined;
		}
	}

	return undefined;
}

function startStream(response: ServerResponse, requestId: string): void {
	if (!response.headersSent) {
		response.writeHead(200, {
			'content-type': 'text/event-stream', 'cache-control': 'no-cache', [headerNames.requestId]: requestId,
		});
	}
}

async function write(response: ServerResponse, text: string): Promise<void> {
	if (!response.write(text) && !response.destroyed) {
		await Promise.race([once(response, 'drain'), once(response, 'close')]);
	}
}

function formatEvent({source, model}: ReplyContext, offset: number, delta: string): string {
	const {requestId} = source;
	return `id: ${requestId}:${offset}\ndata: {"id":"${requestId}","object":"chat.completion.chunk","model":${JSON.stringify(model)},"choices":[{"index":0,"delta":${delta}}]}\n\n`;
}

function endStream(context: ReplyContext, offset: number, end: AnswerEnd): void {
	const {response, source, model} = context;
	if (end.kind === 'error') {
		response.end(`event: error\ndata: ${JSON.stringify(toErrorBody(end, source.requestId))}\n\n`);
		return;
	}

	const finishReason = end.kind === 'complete' ? end.finishReason : 'stop';
	const chunk = {
		id: source.requestId,
		object: 'chat.completion.chunk',
		model,
		choices: [{index: 0, delta: {}, finish_reason: finishReason}],
		usage: {completion_tokens: offset},
	};
	response.end(`id: ${source.requestId}:${offset}\ndata: ${JSON.stringify(chunk)}\n\ndata: ${endOfStream}\n\n`);
}

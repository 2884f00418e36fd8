import {setTimeout as delay} from 'node:timers/promises';
import {createParser} from 'eventsource-parser';
import {request, type Dispatcher} from 'undici';
import * as z from 'zod';
import {isErrorCode, ValvesaddleError} from '@valvesaddle/error';
import type {SendChatOptions} from './send-chat-options.ts';

const maximumReconnects = 5;
const reconnectDelayMs = 200;
const endOfStream = '[DONE]';
const chunkSchema = z.object({choices: z.array(z.object({delta: z.object({content: z.string().optional()})}))});
const errorSchema = z.object({error: z.object({code: z.string(), message: z.string()})});

type Position = {
	lastEventId: string;
	text: string;
	isDone: boolean;
};

/**
 Sends a chat completion as a caller and writes the answer as it streams. After a broken connection it resumes by the last event
 id or, if the node does not have the answer, by sending the request again with the answer so far.

 @returns The whole answer.
 @throws `ValvesaddleError` with the code of the refusal.
 @example
 await sendChat({url, key, model: 'drafting', text: 'Is box 7 cleared?', write(text) { process.stdout.write(text); }});
 */
export async function sendChat(options: SendChatOptions): Promise<string> {
	const position: Position = {lastEventId: '', text: '', isDone: false};
	for (let attempt = 0; !position.isDone && attempt <= maximumReconnects; attempt++) {
		try {
			// eslint-disable-next-line no-await-in-loop -- attempts are sequential
			await readAnswer(await open(options, position), options, position);
		} catch (error) {
			if (attempt === maximumReconnects || error instanceof ValvesaddleError) {
				throw error;
			}

			// eslint-disable-next-line no-await-in-loop -- attempts are sequential
			await delay(reconnectDelayMs);
		}
	}

	return position.text;
}

async function open(options: SendChatOptions, position: Position): Promise<Dispatcher.ResponseData> {
	const authorization = `Bearer ${options.key}`;
	if (position.lastEventId !== '') {
		const [requestId] = position.lastEventId.split(':', 1);
		const resumed = await request(`${options.url}/v1/requests/${requestId}`, {headers: {authorization, 'last-event-id': position.lastEventId}});
		if (resumed.statusCode === 200) {
			return resumed;
		}

		await resumed.body.dump();
	}

	const headers = {
		authorization,
		'content-type': 'application/json',
		...(options.className !== undefined && {'x-valvesaddle-class': options.className}),
		...(options.idempotencyKey !== undefined && {'idempotency-key': options.idempotencyKey}),
	};
	return request(`${options.url}/v1/chat/completions`, {method: 'POST', headers, body: JSON.stringify(buildBody(options, position))});
}

function buildBody(options: SendChatOptions, {text}: Position): unknown {
	const question = {role: 'user', content: options.text};
	const body = {model: options.model, stream: true, ...(options.tokens !== undefined && {max_tokens: options.tokens})};
	return text === ''
		? {...body, messages: [question]}
		: {
			...body, messages: [question, {role: 'assistant', content: text}], continue_final_message: true, add_generation_prompt: false,
		};
}

async function readAnswer(response: Dispatcher.ResponseData, options: SendChatOptions, position: Position): Promise<void> {
	if (response.statusCode !== 200) {
		throw toError(await response.body.text());
	}

	let failure: ValvesaddleError | undefined;
	const parser = createParser({
		onEvent({data, id, event}) {
			if (event === 'error') {
				failure = toError(data);
			} else if (data === endOfStream) {
				position.isDone = true;
			} else {
				const content = chunkSchema.parse(JSON.parse(data)).choices[0]?.delta.content ?? '';
				position.lastEventId = id ?? position.lastEventId;
				position.text += content;
				options.write(content);
			}
		},
	});
	const decoder = new TextDecoder();
	for await (const bytes of response.body) {
		parser.feed(decoder.decode(bytes as Uint8Array, {stream: true}));
	}

	if (failure !== undefined) {
		throw failure;
	}
}

function toError(text: string): ValvesaddleError {
	try {
		const {error} = errorSchema.parse(JSON.parse(text));
		return new ValvesaddleError(isErrorCode(error.code) ? error.code : 'ERR_VALVESADDLE_INTERNAL', error.message);
	} catch {
		return new ValvesaddleError('ERR_VALVESADDLE_MESSAGE_INVALID', `the node answered with "${text.slice(0, 200)}"`);
	}
}

import {createParser} from 'eventsource-parser';
import {Agent, request as sendRequest, type Dispatcher} from 'undici';
import * as z from 'zod';
import {ValvesaddleError} from '@valvesaddle/error';
import {classifySendFailure, classifyStatus} from '@valvesaddle/http-outcome';
import {buildEngineBody} from './build-engine-body.ts';
import type {EngineClient} from './engine-client.ts';
import type {EngineClientOptions} from './engine-client-options.ts';
import type {EngineEvent} from './engine-event.ts';
import type {EngineLoad} from './engine-load.ts';
import type {EngineRequest} from './engine-request.ts';
import {readBounded} from './read-bounded.ts';
import {readChunk} from './read-chunk.ts';
import {startSilenceTimer} from './start-silence-timer.ts';

const loadSchema = z.object({server_load: z.number().min(0), leaving: z.boolean().default(false)});
const loadTimeoutMs = 1000;
const endOfStream = '[DONE]';
const keepAliveMs = 30_000;
/**
Longest event that has not ended, in characters.
*/
const maximumEventLength = 1024 * 1024;

/**
 Creates a client for model engines with the chat completions API, streamed as server-sent events, and vLLM's
 `priority` and `/load`.

 @example
 for await (const event of engines.stream(request, signal)) {}
 */
export function createEngineClient(options: EngineClientOptions): EngineClient {
	const agent = new Agent({
		connectTimeout: options.connectMs,
		headersTimeout: options.firstTokenMs,
		// Bounds what is not an answer; the silence of an engine within its answer has its own limits.
		bodyTimeout: Math.max(options.firstTokenMs, options.pauseMs),
		keepAliveTimeout: keepAliveMs,
	});

	async function send(request: EngineRequest, signal: AbortSignal): Promise<Dispatcher.ResponseData> {
		try {
			return await sendRequest(`${request.url}/v1/chat/completions`, {
				method: 'POST',
				dispatcher: agent,
				headers: {'content-type': 'application/json', accept: 'text/event-stream', ...request.trace},
				body: JSON.stringify(buildEngineBody(request)),
				signal,
			});
		} catch (error) {
			throw classifySendFailure(error, signal);
		}
	}

	async function * readStream(request: EngineRequest, signal: AbortSignal): AsyncGenerator<EngineEvent, void> {
		const startedAt = performance.now();
		const response = await send(request, signal);
		if (response.statusCode !== 200) {
			throw classifyStatus(response.statusCode, await readBounded(response), response.headers['retry-after']);
		}

		const remainingMs = Math.max(options.pauseMs, options.firstTokenMs - (performance.now() - startedAt));
		const silence = startSilenceTimer({response, firstTokenMs: remainingMs, pauseMs: options.pauseMs});
		try {
			yield * readEvents(response, signal, silence.restart);
		} finally {
			silence.close();
		}
	}

	return {
		stream: readStream,
		async readLoad(url) {
			try {
				const response = await sendRequest(`${url}/load`, {dispatcher: agent, signal: AbortSignal.timeout(loadTimeoutMs)});
				const {server_load: requests, leaving} = loadSchema.parse(await response.body.json());
				return {requests, leaving} satisfies EngineLoad;
			} catch {
				return undefined;
			}
		},
		close: async () => agent.destroy(),
	};
}

async function * readEvents(response: Dispatcher.ResponseData, signal: AbortSignal, onChunk: ReturnType<typeof startSilenceTimer>['restart']): AsyncGenerator<EngineEvent, void> {
	let events: EngineEvent[] = [];
	let isDone = false;
	let isTooLong = false;
	const parser = createParser({
		maxBufferSize: maximumEventLength,
		onError({type}) {
			isTooLong ||= type === 'max-buffer-size-exceeded';
		},
		onEvent({data}) {
			if (data === endOfStream) {
				isDone = true;
			} else {
				events.push(...readChunk(data));
			}
		},
	});
	const decoder = new TextDecoder();
	const body: AsyncIterator<Uint8Array> = response.body[Symbol.asyncIterator]();
	let hasFinished = false;
	let hasRest = false;
	try {
		let read = await body.next();
		while (read.done !== true) {
			parser.feed(decoder.decode(read.value, {stream: true}));
			if (isTooLong) {
				throw new ValvesaddleError('ERR_VALVESADDLE_ENDPOINT_FAILED', `an event of over ${maximumEventLength} characters`);
			}

			const ready = events;
			events = [];
			onChunk(ready.length > 0);
			for (const event of ready) {
				hasFinished ||= event.kind === 'finish';
				yield event;
			}

			if (isDone) {
				hasRest = true;
				// The rest is read so that the connection can be used again; the answer is complete whatever becomes of it.
				void readBounded(response, body);
				return;
			}

			// eslint-disable-next-line no-await-in-loop -- chunks are read in order
			read = await body.next();
		}
	} catch (error) {
		if (hasFinished) {
			return;
		}

		throw classifySendFailure(error, signal);
	} finally {
		// The engine stops when its connection closes, for example after a chunk that cannot be read.
		if (!hasRest) {
			response.body.destroy();
		}
	}

	if (!hasFinished) {
		throw new ValvesaddleError('ERR_VALVESADDLE_ENDPOINT_FAILED', 'the answer of the engine ended before its end');
	}
}

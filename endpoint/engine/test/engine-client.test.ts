import type {ServerResponse} from 'node:http';
import fc from 'fast-check';
import {test, type Test} from 'tap';
import {toValvesaddleError} from '@valvesaddle/error';
import {
	createToken,
	startFakeEngine,
	type EngineFault,
	type FakeEngineOptions,
} from '@valvesaddle/fake-engine';
import {startFakeServer} from '@valvesaddle/fake-http';
import {
	buildEngineBody,
	createEngineClient,
	readChunk,
	type EngineRequest,
} from '@valvesaddle/engine';

async function startPair(t: Test, options: FakeEngineOptions = {}) {
	const engine = await startFakeEngine({stepMs: 1, ...options});
	const client = createEngineClient({connectMs: 200, firstTokenMs: 300, pauseMs: 300});
	t.teardown(async () => {
		await client.close();
		await engine.close();
	});
	return {engine, client};
}

function createRequest(url: string, part: Partial<EngineRequest> = {}): EngineRequest {
	return {
		url, body: {model: 'drafting', messages: [{role: 'user', content: 'Hello'}], max_tokens: 6}, priority: 1, textSoFar: '', tokensSoFar: 0, trace: {}, ...part,
	};
}

async function readAll(client: ReturnType<typeof createEngineClient>, request: EngineRequest, signal = new AbortController().signal) {
	let text = '';
	try {
		for await (const event of client.stream(request, signal)) {
			text += event.kind === 'delta' ? event.text : '';
		}

		return {text, code: ''};
	} catch (error) {
		return {text, code: toValvesaddleError(error).code};
	}
}

const whole = Array.from({length: 6}, (_, index) => createToken(index)).join('');

test('an answer is streamed token by token to its end', async t => {
	const {engine, client} = await startPair(t);
	t.same(await readAll(client, createRequest(engine.url)), {text: whole, code: ''});
});

test('an unfinished answer is resumed where it ended, with the remaining token limit', async t => {
	const {engine, client} = await startPair(t);
	const textSoFar = createToken(0) + createToken(1);
	const {text} = await readAll(client, createRequest(engine.url, {textSoFar, tokensSoFar: 2}));
	t.equal(textSoFar + text, whole);
});

test('an unfinished answer in the caller\'s body is merged with the text so far', t => {
	const body = buildEngineBody({
		...createRequest('http://e'), textSoFar: 'b', tokensSoFar: 1,
		body: {messages: [{role: 'user', content: 'q'}, {role: 'assistant', content: 'a'}], continue_final_message: true, max_tokens: 10},
	});
	t.same(body.messages, [{role: 'user', content: 'q'}, {role: 'assistant', content: 'ab'}]);
	t.equal(body.max_tokens, 9);
	t.end();
});

const faults: ReadonlyArray<readonly [EngineFault, string]> = [
	['refuse', 'ERR_VALVESADDLE_ENDPOINT_NOT_RUN'],
	['busy', 'ERR_VALVESADDLE_ENDPOINT_NOT_RUN'],
	['fail', 'ERR_VALVESADDLE_ENDPOINT_FAILED'],
	['freeze', 'ERR_VALVESADDLE_ENDPOINT_FAILED'],
	['truncate', 'ERR_VALVESADDLE_ENDPOINT_FAILED'],
	['garbage', 'ERR_VALVESADDLE_ENDPOINT_FAILED'],
];

for (const [fault, code] of faults) {
	test(`an engine with the fault "${fault}" gives ${code}`, async t => {
		const {engine, client} = await startPair(t);
		engine.setFault(fault);
		t.equal((await readAll(client, createRequest(engine.url))).code, code);
	});
}

test('a refusal carries the Retry-After time of the engine, if it sent one', async t => {
	const {engine, client} = await startPair(t);
	for (const [fault, retryAfterMs] of [['busy', 200_000], ['refuse', undefined]] as const) {
		engine.setFault(fault);
		// eslint-disable-next-line no-await-in-loop -- one fault after the other
		const error: unknown = await client.stream(createRequest(engine.url), new AbortController().signal).next().catch((error_: unknown) => error_);
		t.equal(toValvesaddleError(error).retryAfterMs, retryAfterMs, fault);
	}
});

test('a request to a terminated engine is classified as not run', async t => {
	const {engine, client} = await startPair(t);
	await engine.close();
	t.equal((await readAll(client, createRequest(engine.url))).code, 'ERR_VALVESADDLE_ENDPOINT_NOT_RUN');
});

test('a request to an engine that crashes mid-answer may have run', async t => {
	const {engine, client} = await startPair(t, {stepMs: 5});
	const reading = readAll(client, createRequest(engine.url, {body: {messages: [{role: 'user', content: 'x'}], max_tokens: 1000}}));
	while (engine.counts().tokens < 3) {
		// eslint-disable-next-line no-await-in-loop -- waits for some tokens
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}

	engine.crash();
	t.equal((await reading).code, 'ERR_VALVESADDLE_ENDPOINT_FAILED');
});

const delta = 'data: {"choices":[{"delta":{"content":"yes"}}]}\n\n';
const finish = 'data: {"choices":[{"delta":{},"finish_reason":"stop"}]}\n\n';
const endings: ReadonlyArray<readonly [string, string, (response: ServerResponse) => void]> = [
	['breaks the connection after its last event', `${finish}data: [DONE]\n\n`, response => {
		response.destroy();
	}],
	['breaks the connection after its finish reason', finish, response => {
		response.destroy();
	}],
	['leaves the connection open after its last event', `${finish}data: [DONE]\n\n`, () => {
		// Never ends its response.
	}],
];
for (const [name, end, close] of endings) {
	test(`the answer of an engine that ${name} is complete`, async t => {
		const server = await startFakeServer({
			handle(_request, response) {
				response.writeHead(200, {'content-type': 'text/event-stream'});
				response.write(delta + end, () => {
					close(response);
				});
			},
		});
		const client = createEngineClient({connectMs: 200, firstTokenMs: 60_000, pauseMs: 60_000});
		t.teardown(async () => {
			await client.close();
			await server.close();
		});
		t.same(await readAll(client, createRequest(server.url)), {text: 'yes', code: ''});
	});
}

async function startSilentPair(t: Test, handle: (response: ServerResponse) => void, limits: {readonly firstTokenMs: number; readonly pauseMs: number}) {
	const server = await startFakeServer({
		handle(_request, response) {
			response.writeHead(200, {'content-type': 'text/event-stream'});
			response.flushHeaders();
			handle(response);
		},
	});
	const client = createEngineClient({connectMs: 200, ...limits});
	t.teardown(async () => {
		await client.close();
		await server.close();
	});
	return {server, client};
}

test('a request that waits at an engine which has sent its headers has the time of the first token, not that of a pause', async t => {
	const {server, client} = await startSilentPair(t, response => {
		setTimeout(() => {
			response.end(`${delta}${finish}data: [DONE]\n\n`);
		}, 2500);
	}, {firstTokenMs: 60_000, pauseMs: 100});
	t.same(await readAll(client, createRequest(server.url)), {text: 'yes', code: ''});
});

test('an engine that stays silent after its headers fails at the time of the first token', async t => {
	const {server, client} = await startSilentPair(t, response => {
		response.write(': keep-alive\n\n');
	}, {firstTokenMs: 200, pauseMs: 100});
	t.same(await readAll(client, createRequest(server.url)), {text: '', code: 'ERR_VALVESADDLE_ENDPOINT_FAILED'});
});

test('an engine that stays silent after a token fails at the time of a pause', async t => {
	const {server, client} = await startSilentPair(t, response => {
		response.write(delta);
	}, {firstTokenMs: 60_000, pauseMs: 100});
	t.same(await readAll(client, createRequest(server.url)), {text: 'yes', code: 'ERR_VALVESADDLE_ENDPOINT_FAILED'});
});

test('a prompt that the engine rejects is not classified as a failure of the engine', async t => {
	const {engine, client} = await startPair(t);
	const request = createRequest(engine.url, {body: {messages: [{role: 'user', content: 'reject me'}]}});
	t.equal((await readAll(client, request)).code, 'ERR_VALVESADDLE_ENDPOINT_REJECTED');
});

test('cancelling an answer stops it at the engine', async t => {
	const {engine, client} = await startPair(t, {stepMs: 5});
	const abort = new AbortController();
	const reading = readAll(client, createRequest(engine.url, {body: {messages: [{role: 'user', content: 'x'}], max_tokens: 1000}}), abort.signal);
	while (engine.load() === 0) {
		// eslint-disable-next-line no-await-in-loop -- waits for the request
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}

	abort.abort();
	t.equal((await reading).code, 'ERR_VALVESADDLE_CANCELLED');
	while (engine.load() > 0) {
		// eslint-disable-next-line no-await-in-loop -- waits for the engine to notice
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
});

test('any chunk is either decoded or rejected with a typed error', t => {
	fc.assert(fc.property(fc.oneof(fc.string(), fc.json()), data => {
		try {
			readChunk(data);
			return true;
		} catch (error) {
			return toValvesaddleError(error).code === 'ERR_VALVESADDLE_ENDPOINT_FAILED';
		}
	}));
	t.end();
});

/**
Writes without end, until the other side closes the connection.
*/
function writeOn(response: ServerResponse, text: string): void {
	while (!response.destroyed && response.write(text)) {
		// Goes on until the other side reads no more.
	}

	response.once('drain', () => {
		writeOn(response, text);
	});
}

const endless: ReadonlyArray<readonly [name: string, status: number, begin: string, expected: {readonly text: string; readonly code: string}]> = [
	['a failure whose body does not end', 500, '', {text: '', code: 'ERR_VALVESADDLE_ENDPOINT_FAILED'}],
	['an event that does not end', 200, 'data: ', {text: '', code: 'ERR_VALVESADDLE_ENDPOINT_FAILED'}],
	['what follows the end of an answer', 200, 'data: {"choices":[{"delta":{"content":"a"},"finish_reason":"stop"}]}\n\ndata: [DONE]\n\n', {text: 'a', code: ''}],
];

for (const [name, status, begin, expected] of endless) {
	test(`bytes without end are not read on, and the connection is closed: ${name}`, async t => {
		const closed = Promise.withResolvers<void>();
		const server = await startFakeServer({
			async handle(_request, response) {
				response.writeHead(status, {'content-type': 'text/event-stream'});
				response.write(begin);
				response.once('close', closed.resolve);
				writeOn(response, 'x'.repeat(1000));
			},
		});
		const client = createEngineClient({connectMs: 5000, firstTokenMs: 60_000, pauseMs: 60_000});
		t.teardown(async () => {
			await client.close();
			await server.close();
		});
		t.same(await readAll(client, createRequest(server.url)), expected);
		await closed.promise;
	});
}

import {hash, randomBytes} from 'node:crypto';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import restana from 'restana';
import type {AnswerEnd, AnswerSource} from '@valvesaddle/answers';
import {ValvesaddleError} from '@valvesaddle/error';
import type {Job, JobClaim} from '@valvesaddle/execution';
import type {ClientAccount, Pool} from '@valvesaddle/types';
import type {CallerApi} from './caller-api.ts';
import type {CallerApiOptions} from './caller-api-options.ts';
import {estimatePromptTokens} from './estimate-prompt-tokens.ts';
import {getHeader} from './get-header.ts';
import {headerNames} from './header-names.ts';
import {parseChatBody} from './parse-chat-body.ts';
import {parseEventId} from './parse-event-id.ts';
import {readBody} from './read-body.ts';
import type {ReplyContext} from './reply-context.ts';
import {sendError} from './send-error.ts';
import {toErrorEnd} from './to-error-end.ts';
import {writeStreamReply} from './write-stream-reply.ts';
import {writeWholeReply} from './write-whole-reply.ts';

const fingerprintLength = 22;
const requestIdBytes = 12;
const noRequest = '-';
const servicePath = /^\/v1\/services\/(?<service>[^\/?]+)(?<rest>(?:\/[^?]*)?)(?<query>\?.*)?$/v;
const tracedHeaders = ['traceparent', 'tracestate'];

type Write = (context: ReplyContext) => Promise<AnswerEnd | undefined>;

type Caller = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly account: ClientAccount;
};

/**
 Creates the HTTP interface for callers: chat completions, plain services, reconnects, health.

 @example
 const api = createCallerApi(options);
 const address = await api.listen();
 */
export function createCallerApi(options: CallerApiOptions): CallerApi {
	const server = createServer();
	const service = restana({
		server,
		errorHandler(error, _request, response) {
			sendFailure(response, error);
		},
		defaultRoute(_request, response) {
			sendFailure(response, new ValvesaddleError('ERR_VALVESADDLE_NOT_FOUND', 'no such path'));
		},
	});

	function sendFailure(response: ServerResponse, error: unknown): void {
		const end = toErrorEnd(error);
		options.metrics.increment('callers.refused', 1, {code: end.code});
		sendError(response, end, noRequest);
	}

	/**
	Wraps a handler that needs a known caller and a node that takes requests.
	*/
	function handle(act: (caller: Caller) => Promise<void>): (request: IncomingMessage, response: ServerResponse) => Promise<void> {
		return async (request, response) => {
			if (options.isLeaving()) {
				response.setHeader('connection', 'close');
			}

			try {
				const account = options.access().authenticate(getHeader(request, 'authorization'));
				if (account.isErr()) {
					throw account.error;
				}

				await act({request, response, account: account.value});
			} catch (error) {
				sendFailure(response, error);
			}
		};
	}

	function checkTaken({account}: Caller): void {
		const refusal = options.refusal();
		if (refusal !== undefined) {
			throw refusal;
		}

		if (account.maximumOpen > 0 && options.executor.openOf(account.name) >= account.maximumOpen) {
			throw new ValvesaddleError('ERR_VALVESADDLE_ACCOUNT_LIMIT', `client account "${account.name}" has ${account.maximumOpen} requests open`);
		}
	}

	/**
	Writes the answer; follows to the attempt that holds the claim where there is one.
	*/
	async function writeReply(caller: Caller, context: Omit<ReplyContext, 'response' | 'isGone'>, write: Write, claim: JobClaim | undefined): Promise<void> {
		const {response} = caller;
		let isGone = false;
		context.source.attach();
		response.once('close', () => {
			isGone = true;
			context.source.detach();
		});
		const held = await write({...context, response, isGone: () => isGone});
		if (held?.kind !== 'held') {
			return;
		}

		if (held.fingerprint !== claim?.fingerprint) {
			throw new ValvesaddleError('ERR_VALVESADDLE_IDEMPOTENCY_KEY_REUSED', 'the key stands for a different request');
		}

		const source = await options.findAnswer(held.requestId, caller.account.name);
		if (source === undefined) {
			throw new ValvesaddleError('ERR_VALVESADDLE_MAY_HAVE_RUN', `request ${held.requestId} holds the key and its answer cannot be read`);
		}

		await write({
			...context, source, offset: 0, response, isGone: () => isGone,
		});
	}

	async function handleChat(caller: Caller): Promise<void> {
		checkTaken(caller);
		const text = await readBody(caller.request, options.bodyBytes);
		const body = parseChatBody(text);
		const access = options.access().resolve({
			account: caller.account.name, kind: 'engine', model: body.model, region: options.region, className: getHeader(caller.request, headerNames.className),
		});
		if (access.isErr()) {
			throw access.error;
		}

		const job: Job = {
			...toJobBase(caller, text, access.value.pool),
			...access.value,
			session: getHeader(caller.request, headerNames.session) ?? body.user,
			promptTokens: estimatePromptTokens(body.messages),
			work: {kind: 'engine', body},
		};
		const source = options.executor.start(job);
		await writeReply(caller, {source, model: body.model, offset: 0}, body.stream === true ? writeStreamReply : writeWholeReply, job.claim);
	}

	async function handleService(caller: Caller): Promise<void> {
		checkTaken(caller);
		const {request} = caller;
		const groups = servicePath.exec(request.url ?? '')?.groups ?? {};
		const model = groups.service ?? '';
		const body = await readBody(request, options.bodyBytes);
		const access = options.access().resolve({
			account: caller.account.name, kind: 'service', model, region: options.region, className: getHeader(request, headerNames.className),
		});
		if (access.isErr()) {
			throw access.error;
		}

		const path = `${groups.rest ?? ''}${groups.query ?? ''}`;
		const method = request.method ?? 'GET';
		const job: Job = {
			...toJobBase(caller, `${method} ${path}\n${body}`, access.value.pool),
			...access.value,
			session: undefined,
			promptTokens: 0,
			work: {
				kind: 'service', method, path: path === '' ? '/' : path, contentType: getHeader(request, 'content-type') ?? 'application/json', body,
			},
		};
		await writeReply(caller, {source: options.executor.start(job), model, offset: 0}, writeWholeReply, job.claim);
	}

	function toJobBase({request, account}: Caller, text: string, pool: Pool): Pick<Job, 'requestId' | 'account' | 'claim' | 'trace' | 'arrivedAt'> {
		return {
			requestId: `${options.node}_${randomBytes(requestIdBytes).toString('hex')}`,
			account: account.name,
			claim: toClaim(request, text, pool),
			trace: pickTrace(request),
			arrivedAt: Date.now(),
		};
	}

	async function handleReconnect(caller: Caller): Promise<void> {
		const position = parseEventId(getHeader(caller.request, headerNames.lastEventId) ?? `${(caller.request.url ?? '').split('/').at(-1)}:0`);
		const source: AnswerSource | undefined = position && await options.findAnswer(position.requestId, caller.account.name);
		if (position === undefined || source === undefined) {
			throw new ValvesaddleError('ERR_VALVESADDLE_UNKNOWN_REQUEST', 'no answer is kept under this id');
		}

		options.metrics.increment('callers.reconnects');
		await writeReply(caller, {source, model: '', offset: position.offset}, writeStreamReply, undefined);
	}

	service.post('/v1/chat/completions', handle(handleChat));
	service.get('/v1/requests/:id', handle(handleReconnect));
	service.all('/v1/services/:service', handle(handleService));
	service.all('/v1/services/:service/*', handle(handleService));
	service.get('/v1/models', handle(async ({account, response}) => {
		const data = options.access().models(account.name).map(id => ({id, object: 'model'}));
		response.setHeader('content-type', 'application/json');
		response.end(JSON.stringify({object: 'list', data}));
	}));
	service.get('/healthz', (_request, response) => {
		response.end('ok\n');
	});
	service.get('/readyz', (_request, response) => {
		response.statusCode = options.isReady() ? 200 : 503;
		response.end(options.isReady() ? 'ready\n' : 'not ready\n');
	});

	return {
		async listen() {
			await service.start(options.port, options.host);
			const address = server.address();
			return typeof address === 'object' && address !== null ? `${address.address}:${address.port}` : String(address);
		},
		async close() {
			const {promise, resolve} = Promise.withResolvers<void>();
			server.close(() => {
				resolve();
			});
			server.closeIdleConnections();
			await promise;
		},
		cut() {
			server.close();
			server.closeAllConnections();
		},
	};
}

function toClaim(request: IncomingMessage, text: string, pool: Pool): JobClaim | undefined {
	const key = getHeader(request, headerNames.idempotencyKey);
	if (key === undefined && !pool.repeatable) {
		throw new ValvesaddleError('ERR_VALVESADDLE_IDEMPOTENCY_KEY_REQUIRED', `requests to "${pool.model}" run at most once`);
	}

	return key === undefined ? undefined : {key, fingerprint: hash('sha256', text, 'base64url').slice(0, fingerprintLength)};
}

function pickTrace({headers}: IncomingMessage): Readonly<Record<string, string>> {
	return Object.fromEntries(tracedHeaders.flatMap(name => {
		const value = headers[name];
		return typeof value === 'string' ? [[name, value]] : [];
	}));
}

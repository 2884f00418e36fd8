import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import restana from 'restana';
import type {AnswerEnd, AnswerSource} from '@valvesaddle/answers';
import {toValvesaddleError, ValvesaddleError} from '@valvesaddle/error';
import type {JobClaim} from '@valvesaddle/execution';
import {addErrorGuard, createConnectionTracker, formatServerAddress} from '@valvesaddle/http-server';
import type {ClientAccount} from '@valvesaddle/types';
import {buildChatJob} from './build-chat-job.ts';
import {buildServiceJob} from './build-service-job.ts';
import type {Caller} from './caller.ts';
import type {CallerApi} from './caller-api.ts';
import type {CallerApiOptions} from './caller-api-options.ts';
import {getHeader} from './get-header.ts';
import {headerNames} from './header-names.ts';
import {isWhole} from './is-whole.ts';
import type {JobOptions} from './job-options.ts';
import type {JobPlan} from './job-plan.ts';
import {parseEventId} from './parse-event-id.ts';
import {readBody} from './read-body.ts';
import type {ReplyContext} from './reply-context.ts';
import {sendError} from './send-error.ts';
import {toErrorEnd} from './to-error-end.ts';
import {writeStreamReply} from './write-stream-reply.ts';
import {writeWholeReply} from './write-whole-reply.ts';

const noRequestId = '-';
const unknownRequest = 'no answer is kept under this id';

type Handler = (caller: Caller, response: ServerResponse) => Promise<void>;

type RawHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

type JobBuilder = (caller: Caller, text: string, options: JobOptions) => JobPlan;

type ReplyWriter = (context: ReplyContext) => Promise<AnswerEnd | undefined>;

type Reply = {
	readonly caller: Caller;
	readonly response: ServerResponse;
	readonly source: AnswerSource;
	readonly model: string;
	readonly offset: number;
	readonly write: ReplyWriter;
	readonly claim: JobClaim | undefined;
};

/**
 Creates the HTTP interface for callers: chat completions, plain services, reconnects, health.

 @example
 const api = createCallerApi(options);
 const address = await api.listen();
 */
export function createCallerApi(options: CallerApiOptions): CallerApi {
	const server = createServer();
	const connections = createConnectionTracker(server);
	addErrorGuard({
		server,
		onError(code) {
			options.metrics.increment('callers.connection-errors', 1, {code});
		},
	});
	const service = restana({
		server,
		errorHandler(error, _request, response) {
			sendFailure(response, error);
		},
		defaultRoute(_request, response) {
			sendFailure(response, new ValvesaddleError('ERR_VALVESADDLE_NOT_FOUND', 'no such path'));
		},
	});

	/**
	Asks the caller of a leaving node to close its connection, once the request has been read: closing the connection while
	the caller still writes would reset it, and the caller would lose the answer.
	*/
	function markLeaving(response: ServerResponse): void {
		if (options.isLeaving() && isWhole(response.req)) {
			response.setHeader('connection', 'close');
		}
	}

	function sendFailure(response: ServerResponse, error: unknown): void {
		if (!response.headersSent) {
			markLeaving(response);
		}

		const end = toErrorEnd(error);
		options.metrics.increment('callers.refused', 1, {code: end.code});
		sendError(response, end, noRequestId);
	}

	/**
	Authenticates the caller before the handler runs.
	*/
	function withCaller(handle: Handler): RawHandler {
		return async (request, response) => {
			markLeaving(response);
			try {
				const account = options.access().authenticate(getHeader(request, 'authorization'));
				if (account.isErr()) {
					throw account.error;
				}

				await handle({request, account: account.value}, response);
			} catch (error) {
				sendFailure(response, error);
			}
		};
	}

	function checkAdmission(account: ClientAccount): void {
		const refusal = options.refusal();
		if (refusal !== undefined) {
			throw refusal;
		}

		if (account.maximumOpen > 0 && options.executor.countOpenByAccount(account.name) >= account.maximumOpen) {
			throw new ValvesaddleError('ERR_VALVESADDLE_ACCOUNT_LIMIT', `client account "${account.name}" has ${account.maximumOpen} requests open`);
		}
	}

	/**
	Writes the answer; when another request holds the idempotency key, writes the answer of that request.
	*/
	async function writeReply(reply: Reply): Promise<void> {
		const held = await writeFrom(reply);
		if (held?.kind === 'held') {
			await writeFrom({...reply, source: await findClaimHolder(reply, held), offset: 0});
		}
	}

	/**
	Writes the answer of one source, as its reader.
	*/
	async function writeFrom({response, source, model, offset, write}: Reply): Promise<AnswerEnd | undefined> {
		if (response.destroyed) {
			return undefined;
		}

		let isDisconnected = false;
		source.attach();
		response.once('close', () => {
			isDisconnected = true;
			source.detach();
		});
		return write({
			response, source, model, offset, isDisconnected: () => isDisconnected,
		});
	}

	/**
	Finds the source of an answer on any node.

	@throws `ERR_VALVESADDLE_UNKNOWN_REQUEST`, `ERR_VALVESADDLE_PEER_UNREACHABLE`.
	*/
	async function findAnswer(requestId: string, account: string): Promise<AnswerSource> {
		const source = await options.findAnswer(requestId, account);
		if (source === undefined) {
			throw new ValvesaddleError('ERR_VALVESADDLE_UNKNOWN_REQUEST', unknownRequest);
		}

		return source;
	}

	async function findClaimHolder({caller, claim}: Reply, held: Extract<AnswerEnd, {readonly kind: 'held'}>): Promise<AnswerSource> {
		if (held.fingerprint !== claim?.fingerprint) {
			throw new ValvesaddleError('ERR_VALVESADDLE_IDEMPOTENCY_KEY_REUSED', 'the key stands for a different request');
		}

		try {
			return await findAnswer(held.requestId, caller.account.name);
		} catch (error) {
			const {message} = toValvesaddleError(error);
			throw new ValvesaddleError('ERR_VALVESADDLE_MAY_HAVE_RUN', `request ${held.requestId} holds the key and its answer cannot be read: ${message}`, {cause: error});
		}
	}

	function createJobHandler(build: JobBuilder): RawHandler {
		return withCaller(async (caller, response) => {
			checkAdmission(caller.account);
			const text = await readBody(caller.request, options.bodyBytes);
			markLeaving(response);
			const {job, model, isStreamed} = build(caller, text, {node: options.node, region: options.region, access: options.access()});
			await writeReply({
				caller, response, source: options.executor.start(job), model, offset: 0, write: isStreamed ? writeStreamReply : writeWholeReply, claim: job.claim,
			});
		});
	}

	async function handleReconnect(caller: Caller, response: ServerResponse): Promise<void> {
		const {request, account} = caller;
		const eventId = getHeader(request, headerNames.lastEventId) ?? `${(request.url ?? '').split('/').at(-1)}:0`;
		const position = parseEventId(eventId);
		if (position === undefined) {
			throw new ValvesaddleError('ERR_VALVESADDLE_UNKNOWN_REQUEST', unknownRequest);
		}

		const source = await findAnswer(position.requestId, account.name);

		options.metrics.increment('callers.reconnects');
		await writeReply({
			caller, response, source, model: '', offset: position.offset, write: writeStreamReply, claim: undefined,
		});
	}

	const handleService = createJobHandler(buildServiceJob);
	service.post('/v1/chat/completions', createJobHandler(buildChatJob));
	service.get('/v1/requests/:id', withCaller(handleReconnect));
	service.all('/v1/services/:service', handleService);
	service.all('/v1/services/:service/*', handleService);
	service.get('/v1/models', withCaller(async ({account}, response) => {
		const data = options.access().listModels(account.name).map(id => ({id, object: 'model'}));
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
			return formatServerAddress(server);
		},
		close: connections.drain,
		closeConnections() {
			server.close();
			server.closeAllConnections();
		},
	};
}

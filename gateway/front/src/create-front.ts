import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {Server as NetServer, type Socket} from 'node:net';
import {setImmediate as waitTurn, setTimeout as wait} from 'node:timers/promises';
import restana from 'restana';
import {toValvesaddleError, unwrapResult, ValvesaddleError} from '@valvesaddle/error';
import {
	pickTarget,
	type ForwardRequest,
	type ForwardTask,
	type Interruption,
} from '@valvesaddle/forwarding';
import {startServer} from '@valvesaddle/http-server';
import {countHeaderBytes} from './count-header-bytes.ts';
import {createAnswerMonitor} from './create-answer-monitor.ts';
import {createBodySource} from './create-body-source.ts';
import {createConnectionGuard} from './create-connection-guard.ts';
import {createConnectionTracker} from './create-connection-tracker.ts';
import {createReply} from './create-reply.ts';
import {createUnreadWatch} from './create-unread-watch.ts';
import {endIncomplete} from './end-incomplete.ts';
import type {Front} from './front.ts';
import type {FrontOptions} from './front-options.ts';
import {openHeldRequest} from './open-held-request.ts';
import {readWholeBody} from './read-whole-body.ts';
import {sendRefusal} from './send-refusal.ts';
import {waitForPoll} from './wait-for-poll.ts';

/**
Retry-After of a node that has no configuration, or possibly a stale one, in milliseconds.
*/
const notReadyRetryMs = 300;
/**
Parser's limit for request headers, in bytes. The configuration's own limit is checked after parsing.
*/
const maximumHeadBytes = 128 * 1024;
/**
Interval of the check for request headers that exceed their timeout, in milliseconds.
*/
const headerCheckIntervalMs = 500;

const stopped: Interruption = {endedBy: 'node', cause: 'shutdown', reason: 'the node stops'};

/**
Codes of errors that depend on the configuration: a newer one may allow the request.
*/
const deniedCodes: ReadonlySet<string> = new Set([
	'ERR_VALVESADDLE_NO_ROUTE', 'ERR_VALVESADDLE_UNAUTHENTICATED', 'ERR_VALVESADDLE_HEADERS_TOO_LARGE', 'ERR_VALVESADDLE_BODY_TOO_LARGE',
]);

/**
 Creates the gateway's HTTP server for callers. It reads requests within the limits, resolves their route and client account,
 and hands them to the forwarder.

 @example
 const front = createFront(options);
 await front.listen();
 */
export function createFront(options: FrontOptions): Front {
	const {logger, metrics} = options;
	const server = createServer({
		maxHeaderSize: maximumHeadBytes, requestTimeout: 0, noDelay: true, connectionsCheckingInterval: headerCheckIntervalMs,
	});
	// The gateway's routes come from its configuration, so every path uses restana's default route.
	restana({
		server,
		defaultRoute(request: IncomingMessage, response: ServerResponse) {
			void handleRequest(request, response);
		},
	});

	const monitor = createAnswerMonitor(options);
	const guard = createConnectionGuard({logger, metrics});
	server.on('clientError', (error, socket) => {
		guard.handleError(error, socket as Socket);
	});

	const tracker = createConnectionTracker();
	server.on('connection', socket => {
		tracker.add(socket);
		socket.once('end', () => {
			endUnfinished(socket);
		});
	});
	server.on('timeout', tracker.closeIdle);

	const {ledger} = options;
	const watch = ledger && createUnreadWatch({ledger, logger, metrics});
	const tasks = new Map<ServerResponse, ForwardTask>();
	let drained: Promise<void> | undefined;

	function refuse(request: IncomingMessage, response: ServerResponse, error: ValvesaddleError): void {
		metrics.increment('gateway.refused', 1, {code: error.code});
		const {requestId = '-'} = options.wire.readRequest(request.headers);
		logger.info({
			name: 'request-refused', request: requestId, code: error.code, reason: error.message, version: options.routes()?.version,
		});
		// The connection is closed after an unread body, which would be parsed as the next request.
		sendRefusal(response, error, (options.isLeaving() || !request.complete) && tracker.endAfter(response));
	}

	/**
	Makes a denial retryable while the configuration may be stale, since a newer one may allow the request.
	*/
	function toCallerError(error: ValvesaddleError): ValvesaddleError {
		return !deniedCodes.has(error.code) || options.isCurrent() ? error : new ValvesaddleError('ERR_VALVESADDLE_NOT_READY', `the configuration may be out of date: ${error.message}`, {retryAfterMs: notReadyRetryMs});
	}

	function buildRequest(request: IncomingMessage, arrivedAt: number, isBehindLast: boolean): Omit<ForwardRequest, 'body'> {
		// A request on a kept-alive connection may arrive when too little grace time is left to answer it.
		if (drained !== undefined) {
			throw new ValvesaddleError('ERR_VALVESADDLE_DRAINING', 'it came after the balancer had time to send callers elsewhere', {retryAfterMs: 0});
		}

		// The answer might not be written, so the request must not run.
		if (isBehindLast || guard.isEnding(request.socket)) {
			throw new ValvesaddleError('ERR_VALVESADDLE_CONNECTION_ENDING', 'its connection is about to be closed', {retryAfterMs: 0});
		}

		const index = options.routes();
		if (index === undefined) {
			throw new ValvesaddleError('ERR_VALVESADDLE_NOT_READY', 'no configuration is known yet', {retryAfterMs: notReadyRetryMs});
		}

		const {headerBytes} = options.limits();
		if (countHeaderBytes(request) > headerBytes) {
			throw new ValvesaddleError('ERR_VALVESADDLE_HEADERS_TOO_LARGE', `over ${headerBytes} bytes`);
		}

		const path = request.url ?? '';
		if (!path.startsWith('/')) {
			throw new ValvesaddleError('ERR_VALVESADDLE_MALFORMED_REQUEST', 'the path does not begin with a slash');
		}

		const metadata = options.wire.readRequest(request.headers);
		const route = unwrapResult(index.findRoute(request.headers.host ?? '', path));
		const account = unwrapResult(index.authenticate(route, metadata.apiKey));
		const pool = pickTarget(route.targets, Math.random())?.pool ?? '';
		return {
			metadata, route, version: index.version, account, pool, isEnginePool: index.findPool(pool)?.engine !== undefined,
			method: request.method ?? 'GET', path, rawHeaders: request.rawHeaders, arrivedAt,
		};
	}

	async function forward(request: IncomingMessage, response: ServerResponse, isBehindLast: boolean): Promise<void> {
		const head = buildRequest(request, performance.now(), isBehindLast);
		const held = ledger && watch && openHeldRequest({
			ledger, watch, head, response, logger, metrics,
		});
		const body = await readWholeBody(request, options.limits().bodyBytes, {
			room: held?.room,
			openMeter: () => options.pacer?.open(createBodySource(request, () => {
				metrics.increment('gateway.slowed', 1, {kind: 'body'});
				logger.info({name: 'body-slowed', request: head.metadata.requestId ?? '-', account: head.account?.name});
			})),
		});
		await waitForPoll();
		if (request.socket.readableEnded || response.destroyed || response.writableEnded) {
			return;
		}

		logger.info({
			name: 'request-admitted', request: head.metadata.requestId ?? '-', route: head.route.name, version: head.version, account: head.account?.name,
			priority: head.account?.priority ?? head.route.priority, promptTokens: head.metadata.promptTokens, outputTokens: head.metadata.outputTokens, waitMs: head.metadata.waitMs,
		});
		const reply = createReply(response, () => options.isLeaving() && tracker.endAfter(response), interruption => {
			monitor.markInterrupted(response, interruption);
		});
		const task = held === undefined
			? options.forwarder.forward({...head, body}, reply)
			: options.forwarder.forward({...head, body, hold: held.hold}, held.watchReply(reply, interruption => {
				endUnread(response, interruption);
			}));
		tasks.set(response, task);
		response.once('close', () => {
			tasks.delete(response);
			task.cancel();
		});
	}

	/**
	Cancels the requests of a caller that has disconnected. Its connection closes only after the bytes that are written to it already.
	*/
	function endUnfinished(socket: Socket): void {
		for (const response of tracker.listOpenOn(socket)) {
			if (!response.writableEnded) {
				tasks.get(response)?.cancel();
			}
		}
	}

	/**
	Ends an answer that its caller does not read, also one that was written to its end.
	*/
	function endUnread(response: ServerResponse, interruption: Interruption): void {
		tasks.get(response)?.fail(interruption);
		monitor.markInterrupted(response, interruption);
		if (response.writableEnded) {
			endIncomplete(response);
		}
	}

	async function handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
		metrics.increment('gateway.requests');
		guard.add(request, response);
		monitor.add(request, response);
		const isBehindLast = tracker.isEnding(request.socket);
		tracker.addRequest(request, response);
		try {
			await forward(request, response, isBehindLast);
		} catch (error) {
			refuse(request, response, toCallerError(toValvesaddleError(error)));
		}
	}

	async function closeGradually(): Promise<void> {
		// Connections that the system has established are accepted first; it would reset them.
		await waitTurn();
		const {promise, resolve} = Promise.withResolvers<void>();
		// The HTTP server's own `close` destroys connections whose answers still wait for their callers.
		NetServer.prototype.close.call(server, () => {
			resolve();
		});
		tracker.drain();
		await promise;
	}

	async function drain(): Promise<void> {
		drained ??= closeGradually();
		await drained;
	}

	function failOpen(response: ServerResponse): void {
		const task = tasks.get(response);
		if (task !== undefined) {
			task.fail(stopped);
		} else if (!response.headersSent) {
			refuse(response.req, response, new ValvesaddleError('ERR_VALVESADDLE_DRAINING', 'the node stops before the body has come', {retryAfterMs: 0}));
		}
	}

	function closeNow(): void {
		monitor.markAllInterrupted(stopped);
		server.close();
		server.closeAllConnections();
	}

	return {
		listen: async () => startServer(server, options),
		configure() {
			const {headerTimeoutMs, idleTimeoutMs} = options.limits();
			server.headersTimeout = headerTimeoutMs;
			server.keepAliveTimeout = idleTimeoutMs;
		},
		drain,
		async stop(flushMs) {
			const allClosed = drain();
			for (const response of tracker.listOpen()) {
				failOpen(response);
			}

			await Promise.race([allClosed, wait(flushMs, undefined, {ref: false})]);
			closeNow();
		},
		closeNow,
	};
}

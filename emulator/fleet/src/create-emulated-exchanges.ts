import {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders} from 'node:http';
import {ValvesaddleError} from '@valvesaddle/error';
import type {ExchangeClient} from '@valvesaddle/exchange';
import type {AttemptRecord} from './attempt-record.ts';
import type {CrashCheck} from './crash-check.ts';
import type {EmulatedEndpoint} from './emulated-endpoint.ts';
import type {NodeThread} from './node-thread.ts';
import type {Prompt} from './prompt.ts';

type EmulatedExchangesOptions = {
	/**
	Id of the node that sends.
	*/
	readonly node: string;
	readonly endpoints: ReadonlyMap<string, EmulatedEndpoint>;
	readonly thread: Pick<NodeThread, 'run'>;
	readonly attempts: Pick<AttemptRecord, 'recordAbort'>;
	readonly findPrompt: (id: string) => Prompt | undefined;
	/**
	Called on each new connection.
	*/
	readonly onConnect: () => void;
	readonly crashCheck: CrashCheck;
	/**
	Called when an engine has begun to run a request that crashes it.
	*/
	readonly onCrash: (endpoint: EmulatedEndpoint) => void;
};

/**
Time for which an idle connection is kept, in milliseconds; the same as in the gateway.
*/
const keepAliveMs = 4000;
const okStatus = 200;
const notRunStatus = 503;

/**
 Creates a node's client of emulated engines. New connections are counted, but opening one takes no time.

 @example
 const exchanges = createEmulatedExchanges({node: 'n-0', endpoints, thread, attempts, findPrompt: id => prompts.get(id), onConnect() {}, crashCheck, onCrash() {}});
 */
export function createEmulatedExchanges({node, endpoints, thread, attempts, findPrompt, onConnect, crashCheck, onCrash}: EmulatedExchangesOptions): ExchangeClient {
	let jobs = 0;
	/**
	Last exchange of each request.
	*/
	const newest = new Map<string, string>();
	/**
	Release times of the idle connections, by address.
	*/
	const idle = new Map<string, number[]>();

	function listIdle(address: string): readonly number[] {
		const oldest = performance.now() - keepAliveMs;
		return (idle.get(address) ?? []).filter(at => at >= oldest);
	}

	/**
	Headers by which an engine announces in an answer that it drains, or names its limit.
	*/
	function formatNotices(endpoint: EmulatedEndpoint): IncomingHttpHeaders {
		const limit = endpoint.takeLimit(node);
		return {
			...(endpoint.isLeaving() && {'x-leaving': '1'}), ...(limit !== undefined && {'x-request-limit': String(limit)}),
		};
	}

	function takeConnection(address: string): void {
		const idleSince = listIdle(address);
		if (idleSince.length === 0) {
			onConnect();
		}

		idle.set(address, idleSince.slice(0, -1));
	}

	function releaseConnection(address: string): void {
		idle.set(address, [...listIdle(address), performance.now()]);
	}

	return {
		hasIdle: address => listIdle(address).length > 0,
		send({address, headers}, listener) {
			const [id = '', urgency = '0', lastEventId = '-1'] = headers;
			const endpoint = endpoints.get(address);
			const prompt = findPrompt(id);
			if (endpoint === undefined || prompt === undefined) {
				throw new TypeError(`no endpoint ${address} or request ${id}`);
			}

			const jobId = `${id} ${jobs++}`;
			newest.set(id, jobId);
			let hasStarted = false;
			let isAborted = false;
			/**
			Handles what has arrived from the engine, unless the node has aborted the exchange before it read that.
			*/
			const handleArrival = (handler: () => void): void => {
				thread.run(() => {
					if (!isAborted) {
						handler();
					}
				});
			};

			takeConnection(address);
			listener.onSent();
			if (prompt.isCrashing === true) {
				crashCheck.recordArrival();
			}

			endpoint.send({
				id: jobId,
				promptTokens: prompt.metadata.promptTokens + Number(lastEventId) + 1,
				shared: prompt.metadata.parts.slice(0, -1),
				events: prompt.events,
				firstEvent: Number(lastEventId) + 1,
				urgency: Number(urgency),
				onEvent(number) {
					if (prompt.isCrashing === true) {
						onCrash(endpoint);
						return;
					}

					handleArrival(() => {
						if (!hasStarted) {
							hasStarted = true;
							listener.onHead(okStatus, {'x-request-id': id, ...formatNotices(endpoint)});
						}

						listener.onData(Buffer.from(`id: ${number}\ndata: x\n\n`));
					});
				},
				onEnd() {
					handleArrival(() => {
						releaseConnection(address);
						listener.onEnd();
					});
				},
			}, {
				node,
				onLost() {
					handleArrival(() => {
						listener.onFailure(new ValvesaddleError('ERR_VALVESADDLE_ENDPOINT_FAILED', 'connection lost'));
					});
				},
				onRefused(retryAfterMs) {
					handleArrival(() => {
						releaseConnection(address);
						listener.onHead(notRunStatus, {'x-request-id': id, ...formatNotices(endpoint), ...(retryAfterMs !== undefined && {'x-retry-after-ms': String(retryAfterMs)})});
						listener.onEnd();
					});
				},
			});
			return {
				abort() {
					isAborted = true;
					endpoint.abort(jobId, attempts.recordAbort(id, newest.get(id) === jobId));
				},
				resume() {
					// Emulated callers read without delay.
				},
			};
		},
		closeAddress() {
			// No connection is open between exchanges.
		},
		async close() {
			// Nothing is open between exchanges.
		},
	};
}

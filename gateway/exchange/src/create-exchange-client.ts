import {createChunkCollector} from '@valvesaddle/buffers';
import type {Dispatcher} from 'undici';
import {ValvesaddleError} from '@valvesaddle/error';
import type {ConnectionPool} from './connection-pool.ts';
import {createConnectionPool} from './create-connection-pool.ts';
import type {ExchangeClient} from './exchange-client.ts';
import type {ExchangeClientOptions} from './exchange-client-options.ts';
import type {ExchangeListener} from './exchange-listener.ts';
import type {ExchangeRequest} from './exchange-request.ts';

/**
Lowest status of a final response, as opposed to an informational one.
*/
const finalStatus = 200;
/**
Informational responses before a final one; an endpoint that sends more has no answer.
*/
const maximumInformational = 32;

/**
 Creates the HTTP client that sends requests to endpoints.

 @example
 const client = createExchangeClient({connectMs: 500, keepAliveMs: 4000});
 const exchange = client.send({address: '10.0.0.7:8080', method: 'GET', path: '/', headers: [], body: undefined}, listener);
 */
export function createExchangeClient(options: ExchangeClientOptions): ExchangeClient {
	const pools = new Map<string, ConnectionPool>();

	function getPool(address: string): ConnectionPool {
		const pool = pools.get(address) ?? createConnectionPool({
			address,
			connectMs: options.connectMs,
			keepAliveMs: options.keepAliveMs,
			onConnect() {
				options.onConnect?.();
			},
		});
		pools.set(address, pool);
		return pool;
	}

	return {
		hasIdle: address => pools.get(address)?.hasIdle() === true,
		send({address, method, path, headers, body, canSend}: ExchangeRequest, listener: ExchangeListener) {
			const pool = getPool(address);
			const connection = pool.acquire();
			let controller: Dispatcher.DispatchController | undefined;
			let wasSent = false;
			let hasEnded = false;
			const received = createChunkCollector();
			let isHeld = false;
			let isPaced = false;
			let informational = 0;
			const meter = options.pacer?.open({
				isCoarse: false,
				pause() {
					isPaced = true;
					controller?.pause();
					pool.findInlet(connection)?.close();
				},
				resume() {
					isPaced = false;
					startReading();
				},
				onSlowed() {
					listener.onSlowed?.();
				},
			});

			function startReading(): void {
				if (isHeld || isPaced) {
					return;
				}

				// What was read before is parsed first, and may pause it again.
				controller?.resume();
				if (!isPaced) {
					pool.findInlet(connection)?.open();
				}
			}

			function handleReceived(): void {
				const bytes = received.take();
				const flow = hasEnded || bytes.length === 0 ? 'more' : listener.onData(bytes);
				if (flow === 'more') {
					return;
				}

				isHeld = true;
				controller?.pause();
			}

			connection.dispatch({
				method, path, headers, body: body === undefined || body.length === 0 ? null : body,
			}, {
				onRequestStart(started) {
					controller = started;
					if (hasEnded || canSend?.() === false) {
						started.abort(new Error('held back'));
						return;
					}

					wasSent = true;
					listener.onSent();
				},
				onResponseStart(started, status, responseHeaders) {
					if (!hasEnded && status >= finalStatus) {
						listener.onHead(status, responseHeaders);
					}

					informational += status < finalStatus ? 1 : 0;
					if (informational > maximumInformational) {
						started.abort(new Error(`over ${maximumInformational} informational responses`));
					}
				},
				onResponseData(_controller, chunk) {
					if (received.countBytes() === 0) {
						// Runs once all chunks of this read have been parsed.
						queueMicrotask(handleReceived);
					}

					received.push(chunk);
					meter?.record(chunk.length);
				},
				onResponseEnd() {
					meter?.close();
					pool.release(connection);
					handleReceived();
					if (hasEnded) {
						return;
					}

					hasEnded = true;
					listener.onEnd();
				},
				onResponseError(_controller, cause) {
					meter?.close();
					pool.closeFailed(connection);
					handleReceived();
					if (hasEnded) {
						return;
					}

					hasEnded = true;
					listener.onFailure(new ValvesaddleError(wasSent ? 'ERR_VALVESADDLE_ENDPOINT_FAILED' : 'ERR_VALVESADDLE_ENDPOINT_NOT_RUN', cause.message, {cause}));
				},
			});
			return {
				abort() {
					if (hasEnded) {
						return;
					}

					hasEnded = true;
					controller?.abort(new Error('aborted'));
				},
				resume() {
					isHeld = false;
					startReading();
				},
			};
		},
		closeAddress(address) {
			pools.get(address)?.close();
			pools.delete(address);
		},
		async close() {
			for (const pool of pools.values()) {
				pool.destroy();
			}
		},
	};
}

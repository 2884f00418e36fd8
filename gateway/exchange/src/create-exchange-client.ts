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

			function handleReceived(): void {
				const bytes = received.take();
				if (!hasEnded && bytes.length > 0 && listener.onData(bytes) === 'pause') {
					controller?.pause();
				}
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
				onResponseStart(_controller, status, responseHeaders) {
					if (!hasEnded && status >= 200) {
						listener.onHead(status, responseHeaders);
					}
				},
				onResponseData(_controller, chunk) {
					if (received.countBytes() === 0) {
						// Runs once all chunks of this read have been parsed.
						queueMicrotask(handleReceived);
					}

					received.push(chunk);
				},
				onResponseEnd() {
					pool.release(connection);
					handleReceived();
					if (hasEnded) {
						return;
					}

					hasEnded = true;
					listener.onEnd();
				},
				onResponseError(_controller, cause) {
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
					controller?.resume();
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

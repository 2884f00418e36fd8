import {Pool, type Dispatcher} from 'undici';
import {ValvesaddleError} from '@valvesaddle/error';
import {createStrictConnector} from './create-strict-connector.ts';
import type {ExchangeClient} from './exchange-client.ts';
import type {ExchangeClientOptions} from './exchange-client-options.ts';
import type {ExchangeListener} from './exchange-listener.ts';
import type {ExchangeRequest} from './exchange-request.ts';

/**
An idle connection is given up so long before the endpoint would close it, in milliseconds: a request must not cross that.
*/
const keepAliveMarginMs = 1000;
const longestKeepAliveMs = 600_000;

/**
 Creates the client for exchanges with endpoints.

 @example
 const client = createExchangeClient({connectMs: 500, keepAliveMs: 4000});
 const exchange = client.send({address: '10.0.0.7:8080', method: 'GET', path: '/', headers: [], body: undefined}, listener);
 */
export function createExchangeClient(options: ExchangeClientOptions): ExchangeClient {
	const pools = new Map<string, Pool>();

	function getPool(address: string): Pool {
		const existing = pools.get(address);
		if (existing !== undefined) {
			return existing;
		}

		const pool = new Pool(`http://${address}`, {
			pipelining: 1,
			// The gateway's own timers decide; these would end an answer that is only slow.
			headersTimeout: 0,
			bodyTimeout: 0,
			connect: createStrictConnector({timeout: options.connectMs}),
			keepAliveTimeout: options.keepAliveMs,
			keepAliveMaxTimeout: longestKeepAliveMs,
			keepAliveTimeoutThreshold: keepAliveMarginMs,
		});
		pool.on('connect', () => {
			options.onConnect?.();
		});
		pools.set(address, pool);
		return pool;
	}

	return {
		send({address, method, path, headers, body}: ExchangeRequest, listener: ExchangeListener) {
			let controller: Dispatcher.DispatchController | undefined;
			let wasSent = false;
			let isOver = false;
			const handler: Dispatcher.DispatchHandler = {
				onRequestStart(started) {
					controller = started;
					if (isOver) {
						started.abort(new Error('aborted'));
						return;
					}

					wasSent = true;
					listener.onSent();
				},
				onResponseStart(_controller, status, responseHeaders) {
					if (!isOver && status >= 200) {
						listener.onHead(status, responseHeaders);
					}
				},
				onResponseData(current, chunk) {
					if (!isOver && listener.onData(chunk) === 'pause') {
						current.pause();
					}
				},
				onResponseEnd() {
					if (isOver) {
						return;
					}

					isOver = true;
					listener.onEnd();
				},
				onResponseError(_controller, cause) {
					if (isOver) {
						return;
					}

					isOver = true;
					listener.onFailure(new ValvesaddleError(wasSent ? 'ERR_VALVESADDLE_ENDPOINT_FAILED' : 'ERR_VALVESADDLE_ENDPOINT_NOT_RUN', cause.message, {cause}));
				},
			};
			getPool(address).dispatch({
				method, path, headers, body: body === undefined || body.length === 0 ? null : body,
			}, handler);
			return {
				abort() {
					if (isOver) {
						return;
					}

					isOver = true;
					controller?.abort(new Error('aborted'));
				},
				resume() {
					controller?.resume();
				},
			};
		},
		closeAddress(address) {
			const pool = pools.get(address);
			pools.delete(address);
			// Its open exchanges run to their end; a failure of theirs is told to their own listeners.
			pool?.close().catch(() => undefined);
		},
		async close() {
			await Promise.all(pools.values().map(async pool => pool.destroy()));
		},
	};
}

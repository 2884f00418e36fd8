import {Client, type Dispatcher} from 'undici';
import type {ConnectionPool} from './connection-pool.ts';
import {createInlet} from './create-inlet.ts';
import {createStrictConnector} from './create-strict-connector.ts';
import type {Inlet} from './inlet.ts';

/**
Options of `createConnectionPool`. All times are in milliseconds.
*/
type ConnectionPoolOptions = {
	readonly address: string;
	readonly connectMs: number;
	readonly keepAliveMs: number;
	readonly onConnect: () => void;
};

/**
Closes an idle connection this long before the endpoint's keep-alive timeout, in milliseconds, so that a request is not sent on
a connection that the endpoint is closing.
*/
const keepAliveMarginMs = 1000;
const maximumKeepAliveMs = 600_000;

/**
 Creates the connection pool of an address. The most recently used connection is reused first, so that few are kept open and
 an idle one is unlikely to be closed by the endpoint while a request is sent.

 @example
 const connections = createConnectionPool({address: '10.0.0.7:8080', connectMs: 400, keepAliveMs: 4000, onConnect() {}});
 const connection = connections.take();
 */
export function createConnectionPool(options: ConnectionPoolOptions): ConnectionPool {
	const idle: Client[] = [];
	const all = new Set<Client>();
	const inlets = new WeakMap<Dispatcher, Inlet>();
	let isClosed = false;

	function remove(client: Client): void {
		all.delete(client);
		const index = idle.indexOf(client);
		if (index !== -1) {
			idle.splice(index, 1);
		}
	}

	function openClient(): Client {
		const client: Client = new Client(`http://${options.address}`, {
			pipelining: 1,
			// The gateway's own timers apply; these would abort slow responses.
			headersTimeout: 0,
			bodyTimeout: 0,
			connect: createStrictConnector({timeout: options.connectMs}, socket => {
				inlets.set(client, createInlet(socket));
			}),
			keepAliveTimeout: options.keepAliveMs,
			keepAliveMaxTimeout: maximumKeepAliveMs,
			keepAliveTimeoutThreshold: keepAliveMarginMs,
		});
		client.on('connect', options.onConnect);
		client.on('disconnect', () => {
			remove(client);
		});
		all.add(client);
		return client;
	}

	function findClient(connection: Dispatcher): Client | undefined {
		return all.values().find(client => client === connection);
	}

	function closeClient(client: Client): void {
		remove(client);
		client.destroy().catch(() => {
			// The connection is closed in any case.
		});
	}

	return {
		hasIdle: () => idle.length > 0,
		acquire: () => idle.pop() ?? openClient(),
		release(connection) {
			const client = findClient(connection);
			if (client === undefined) {
				return;
			}

			if (isClosed) {
				closeClient(client);
			} else {
				idle.push(client);
			}
		},
		closeFailed(connection) {
			const client = findClient(connection);
			if (client !== undefined) {
				closeClient(client);
			}
		},
		findInlet: connection => inlets.get(connection),
		close() {
			isClosed = true;
			for (const client of idle) {
				closeClient(client);
			}
		},
		destroy() {
			isClosed = true;
			for (const client of all) {
				closeClient(client);
			}
		},
	};
}

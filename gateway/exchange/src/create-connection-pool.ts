import {Client, type Dispatcher} from 'undici';
import type {ConnectionPool} from './connection-pool.ts';
import {createStrictConnector} from './create-strict-connector.ts';

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
An idle connection is given up so long before the endpoint would close it, in milliseconds: a request must not cross that.
*/
const keepAliveMarginMs = 1000;
const longestKeepAliveMs = 600_000;

/**
 Creates the connections to an address. The one that was used last is used next, so that few are kept and those are fresh:
 each new connection takes an endpoint's time, and an idle one may be closed while a request is on its way.

 @example
 const connections = createConnectionPool({address: '10.0.0.7:8080', connectMs: 400, keepAliveMs: 4000, onConnect() {}});
 const connection = connections.take();
 */
export function createConnectionPool(options: ConnectionPoolOptions): ConnectionPool {
	const idle: Client[] = [];
	const all = new Set<Client>();
	let isClosed = false;

	function remove(client: Client): void {
		all.delete(client);
		const index = idle.indexOf(client);
		if (index !== -1) {
			idle.splice(index, 1);
		}
	}

	function openClient(): Client {
		const client = new Client(`http://${options.address}`, {
			pipelining: 1,
			// The gateway's own timers decide; these would end an answer that is only slow.
			headersTimeout: 0,
			bodyTimeout: 0,
			connect: createStrictConnector({timeout: options.connectMs}),
			keepAliveTimeout: options.keepAliveMs,
			keepAliveMaxTimeout: longestKeepAliveMs,
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
			// It is gone all the same.
		});
	}

	return {
		hasIdle: () => idle.length > 0,
		take: () => idle.pop() ?? openClient(),
		giveBack(connection) {
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
		drop(connection) {
			const client = findClient(connection);
			if (client !== undefined) {
				closeClient(client);
			}
		},
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

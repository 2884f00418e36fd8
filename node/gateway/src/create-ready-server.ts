import {createServer, type ServerResponse} from 'node:http';
import {closeServer, startServer} from '@valvesaddle/http-server';
import type {ReadyServer} from './ready-server.ts';

/**
Options of `createReadyServer`.
*/
type ReadyServerOptions = {
	readonly host: string;
	readonly port: number;
	readonly isReady: () => boolean;
	readonly readMetrics: () => Promise<string>;
};

/**
 Creates the HTTP server for the load balancer's health checks; `/metrics` returns the node's metrics as text.

 @example
 const ready = createReadyServer({host: '10.0.0.4', port: 8220, isReady: () => true, readMetrics: () => ''});
 */
export function createReadyServer({host, port, isReady, readMetrics}: ReadyServerOptions): ReadyServer {
	const server = createServer((request, response) => {
		if (request.url === '/metrics') {
			void writeMetrics(response);
			return;
		}

		response.writeHead(isReady() ? 200 : 503).end();
	});

	async function writeMetrics(response: ServerResponse): Promise<void> {
		const text = await readMetrics();
		response.writeHead(200, {'content-type': 'text/plain; version=0.0.4'}).end(text);
	}

	return {
		listen: async () => startServer(server, {host, port}),
		async close() {
			server.closeAllConnections();
			await closeServer(server);
		},
	};
}

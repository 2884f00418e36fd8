import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {text as readText} from 'node:stream/consumers';
import type {FakeServer} from './fake-server.ts';
import type {FakeServerOptions} from './fake-server-options.ts';

/**
 Starts an HTTP server for a stand-in.

 @example
 const server = await startFakeServer({handle(request, response) { response.end('ok'); }});
 */
export async function startFakeServer(options: FakeServerOptions): Promise<FakeServer> {
	const host = options.host ?? '127.0.0.1';
	const server = createServer((request, response) => {
		answer(options, request, response).catch(() => {
			response.destroy();
		});
	});
	const {promise, resolve, reject} = Promise.withResolvers<void>();
	server.once('error', reject);
	server.listen(options.port ?? 0, host, resolve);
	await promise;
	const address = `${host}:${getPort(server)}`;

	return {
		url: `http://${address}`,
		address,
		cut() {
			server.closeAllConnections();
		},
		async close() {
			const closed = Promise.withResolvers<void>();
			server.close(() => {
				closed.resolve();
			});
			server.closeAllConnections();
			await closed.promise;
		},
	};
}

async function answer(options: FakeServerOptions, request: IncomingMessage, response: ServerResponse): Promise<void> {
	const url = new URL(request.url ?? '/', 'http://stand-in');
	await options.handle({
		method: request.method ?? 'GET', path: url.pathname, query: url.searchParams, headers: request.headers, body: await readText(request),
	}, response);
}

function getPort(server: Server): number {
	const address = server.address();
	return typeof address === 'object' && address !== null ? address.port : 0;
}

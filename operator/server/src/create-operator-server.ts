import {createServer} from 'node:http';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {createConnectionTracker, startServer} from '@valvesaddle/http-server';
import {OperatorService} from '@valvesaddle/operator-schema';
import {createOperatorHandlers} from './create-operator-handlers.ts';
import type {OperatorServer} from './operator-server.ts';
import type {OperatorServerOptions} from './operator-server-options.ts';

const maximumMessageBytes = 4 * 1024 * 1024;

/**
 Creates the server of the operator API: Connect and gRPC-Web over HTTP/1.1.

 @example
 const address = await createOperatorServer(options).listen();
 */
export function createOperatorServer(options: OperatorServerOptions): OperatorServer {
	const server = createServer(connectNodeAdapter({
		routes(router) {
			router.service(OperatorService, createOperatorHandlers(options));
		},
		readMaxBytes: maximumMessageBytes,
	}));

	const connections = createConnectionTracker(server);

	return {
		listen: async () => startServer(server, options),
		close: connections.drain,
	};
}

import type {Server} from 'node:http';

/**
 Closes a server and waits until its open requests have ended. Does nothing if it is not listening. Cuts answers that have
 been ended but wait to be sent; a server whose callers may read slowly is closed with `createConnectionTracker`.

 @example
 await closeServer(server);
 */
export async function closeServer(server: Server): Promise<void> {
	if (!server.listening) {
		return;
	}

	const {promise, resolve} = Promise.withResolvers<void>();
	server.close(() => {
		resolve();
	});
	server.closeIdleConnections();
	await promise;
}

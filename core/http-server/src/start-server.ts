import type {Server} from 'node:http';
import {formatServerAddress} from './format-server-address.ts';

/**
Address to listen on.
*/
type ListenAddress = {
	readonly host: string;
	/**
	0 for any free port.
	*/
	readonly port: number;
};

/**
 Starts a server and waits until it listens.

 @throws The system's error, such as `EADDRINUSE` or `EADDRNOTAVAIL`.
 @example
 const address = await startServer(server, {host: '127.0.0.1', port: 0});
 */
export async function startServer(server: Server, {host, port}: ListenAddress): Promise<string> {
	const {promise, resolve, reject} = Promise.withResolvers<void>();
	server.once('error', reject);
	server.listen(port, host, resolve);
	await promise;
	return formatServerAddress(server);
}

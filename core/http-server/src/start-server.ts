import type {Server} from 'node:http';
import {formatServerAddress} from './format-server-address.ts';

/**
Where a server listens.
*/
type ListenPlace = {
	readonly host: string;
	/**
	0 for any free port.
	*/
	readonly port: number;
};

/**
 Starts a server and waits until it listens.

 @throws The system's error when the address is in use or not the machine's.
 @example
 const address = await startServer(server, {host: '127.0.0.1', port: 0});
 */
export async function startServer(server: Server, {host, port}: ListenPlace): Promise<string> {
	const {promise, resolve, reject} = Promise.withResolvers<void>();
	server.once('error', reject);
	server.listen(port, host, resolve);
	await promise;
	return formatServerAddress(server);
}

import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';

/**
 Finds a free port at a loopback address. Servers of other tests listen at 127.0.0.1, so they cannot take a port of another loopback
 address before its owner listens.

 @example
 await findFreeAddress('127.0.0.2'); // '127.0.0.2:41234'
 */
export async function findFreeAddress(host: string): Promise<string> {
	const server = createServer();
	server.listen(0, host);
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	server.close();
	await once(server, 'close');
	return `${host}:${port}`;
}

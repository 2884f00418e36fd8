import {once} from 'node:events';
import type {Server} from 'node:net';

/**
 Lets a server listen on a free port of the loopback; resolves to its address.

 @example
 const address = await startListening(createServer()); // '127.0.0.1:41234'
 */
export async function startListening(server: Server): Promise<string> {
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const place = server.address();
	return `127.0.0.1:${typeof place === 'object' && place !== null ? place.port : 0}`;
}

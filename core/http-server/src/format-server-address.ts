import type {Server} from 'node:http';

/**
 Address on which a server listens, as host and port.

 @example
 formatServerAddress(server); // '127.0.0.1:7100'
 */
export function formatServerAddress(server: Server): string {
	const address = server.address();
	return typeof address === 'object' && address !== null ? `${address.address}:${address.port}` : String(address);
}

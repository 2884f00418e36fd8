import {once} from 'node:events';
import {
	connect,
	createServer,
	type AddressInfo,
	type Socket,
} from 'node:net';

/**
Two ends of a connection.
*/
type SocketPair = {
	readonly reader: Socket;
	readonly writer: Socket;
	readonly close: () => void;
};

/**
 Opens a connection and returns both of its ends.

 @example
 const {reader, writer, close} = await openSocketPair();
 writer.write('chunk');
 */
export async function openSocketPair(): Promise<SocketPair> {
	const server = createServer().listen(0, '127.0.0.1');
	await once(server, 'listening');
	const reader = connect((server.address() as AddressInfo).port, '127.0.0.1');
	const [writer] = await once(server, 'connection') as [Socket];
	return {
		reader,
		writer,
		close() {
			reader.destroy();
			writer.destroy();
			server.close();
		},
	};
}

import type {Socket} from 'node:net';
import {buildConnector} from 'undici';

/**
Error code that replaces `ECONNRESET`.
*/
const resetCode = 'ERR_CONNECTION_RESET';

/**
 Creates a connector that reports a connection reset as an error. undici treats `ECONNRESET` as the normal end of a response
 that has no length, so a truncated response would look complete.

 @param options - Options of undici's connector.
 @param onOpen - Called with each connection that is open.
 @example
 const pool = new Pool(origin, {connect: createStrictConnector({timeout: 400})});
 */
export function createStrictConnector(options: buildConnector.BuildOptions, onOpen?: (socket: Socket) => void): buildConnector.connector {
	const connect = buildConnector(options);
	return (target, callback) => {
		connect(target, (...result) => {
			const [failure, socket] = result;
			socket?.prependListener('error', (error: NodeJS.ErrnoException) => {
				if (error.code === 'ECONNRESET') {
					error.code = resetCode;
				}
			});
			if (failure === null) {
				onOpen?.(socket);
			}

			callback(...result);
		});
	};
}

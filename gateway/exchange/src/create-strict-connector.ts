import {buildConnector} from 'undici';

/**
The code under which a reset is passed on.
*/
const resetCode = 'ERR_CONNECTION_RESET';

/**
 Creates a connector whose connections tell a reset from an end. The HTTP client takes `ECONNRESET` within an answer
 without length for the answer's end, as some systems report it so; here a reset always breaks the answer off.

 @example
 const pool = new Pool(origin, {connect: createStrictConnector({timeout: 400})});
 */
export function createStrictConnector(options: buildConnector.BuildOptions): buildConnector.connector {
	const connect = buildConnector(options);
	return (target, callback) => {
		connect(target, (...result) => {
			const [, socket] = result;
			socket?.prependListener('error', (error: NodeJS.ErrnoException) => {
				if (error.code === 'ECONNRESET') {
					error.code = resetCode;
				}
			});
			callback(...result);
		});
	};
}

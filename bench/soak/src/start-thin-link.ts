import {connect, createServer, type Socket} from 'node:net';
import {Transform} from 'node:stream';
import {startListening} from '@valvesaddle/fake-http';
import type {ThinLink} from './thin-link.ts';

/**
Delay of each piece, of up to 64 kB, on a thin link, in milliseconds.
*/
const pieceMs = 30;

/**
 Starts a link on the loopback through which callers reach a node. It passes on ends and resets as they come.

 @example
 const link = await startThinLink('127.0.0.1:7100');
 link.setThin(true);
 */
export async function startThinLink(target: string): Promise<ThinLink> {
	const [host = '', port = ''] = target.split(':', 2);
	const sockets = new Set<Socket>();
	let isThin = false;

	function createPieceDelay(): Transform {
		return new Transform({
			transform(piece, _encoding, onPassed) {
				if (isThin) {
					setTimeout(onPassed, pieceMs, undefined, piece);
				} else {
					onPassed(undefined, piece);
				}
			},
		});
	}

	function forwardData(from: Socket, to: Socket): void {
		sockets.add(from);
		from.pipe(createPieceDelay()).pipe(to);
		from.on('error', () => {
			to.resetAndDestroy();
		});
		from.on('close', () => {
			sockets.delete(from);
		});
	}

	const server = createServer({allowHalfOpen: true, noDelay: true}, near => {
		const far = connect({
			host, port: Number(port), allowHalfOpen: true, noDelay: true,
		});
		forwardData(near, far);
		forwardData(far, near);
	});
	const address = await startListening(server);

	return {
		address,
		setThin(isNowThin) {
			isThin = isNowThin;
		},
		close() {
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
}

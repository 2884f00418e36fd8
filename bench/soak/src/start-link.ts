import {connect, createServer, type Socket} from 'node:net';
import {startListening} from '@valvesaddle/fake-http';
import type {Link} from './link.ts';
import type {LinkMode} from './link-mode.ts';

const slowMs = 300;

/**
 Starts a link on the loopback through which a node reaches the store, and that can be disturbed.

 @example
 const link = await startLink('127.0.0.1:8223');
 link.setMode('silent');
 */
export async function startLink(target: string): Promise<Link> {
	const [host = '', port = ''] = target.split(':', 2);
	const sockets = new Set<Socket>();
	let mode: LinkMode = 'open';

	function forwardData(from: Socket, to: Socket): void {
		from.on('data', data => {
			if (mode === 'open') {
				to.write(data);
			} else if (mode === 'slow') {
				setTimeout(() => {
					to.write(data);
				}, slowMs);
			}
		});
		from.on('error', () => {
			to.destroy();
		});
		from.on('close', () => {
			to.destroy();
			sockets.delete(from);
		});
		sockets.add(from);
	}

	const server = createServer(near => {
		if (mode === 'reset') {
			near.resetAndDestroy();
			return;
		}

		const far = connect(Number(port), host);
		forwardData(near, far);
		forwardData(far, near);
	});
	const address = await startListening(server);

	return {
		address,
		setMode(newMode) {
			mode = newMode;
			for (const socket of newMode === 'reset' ? sockets : []) {
				socket.resetAndDestroy();
			}
		},
		close() {
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
}

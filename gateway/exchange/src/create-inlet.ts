import type {Socket} from 'node:net';
import type {Inlet} from './inlet.ts';

/**
 Creates the inlet of a connection. The HTTP client returns the unparsed rest to the connection when it pauses, which does not count
 as unread there: each short pause would let another read come in, and the rest would grow.

 @example
 const inlet = createInlet(socket);
 inlet.close();
 */
export function createInlet(socket: Socket): Inlet {
	let isInstalled = false;
	let isClosed = false;
	let wantedBytes: number | undefined;

	/**
	Connections that are never closed keep the method of their class, which is faster.
	*/
	function setMethod(): void {
		const readMore = socket._read.bind(socket);
		isInstalled = true;
		socket._read = bytes => {
			if (isClosed) {
				wantedBytes = bytes;
			} else {
				readMore(bytes);
			}
		};
	}

	return {
		close() {
			isClosed = true;
			if (!isInstalled) {
				setMethod();
			}
		},
		open() {
			isClosed = false;
			if (wantedBytes === undefined) {
				return;
			}

			const bytes = wantedBytes;
			wantedBytes = undefined;
			socket._read(bytes);
		},
	};
}

import type {SendWindow} from './send-window.ts';

/**
Unconfirmed bytes above which a peer is not ready: the windows of twenty peers pass an uplink of 7 Mbit/s within 0.4 s, and
one is many times what a link carries in a round trip.
*/
const windowBytes = 16 * 1024;

/**
 Creates the send window of a link. Pings and messages are delivered in order, so a pong confirms all bytes sent before its
 ping.

 @example
 const sendWindow = createSendWindow(text => socket.ping(text));
 sendWindow.addSent(text.length);
 */
export function createSendWindow(ping: (text: string) => void): SendWindow {
	let sentBytes = 0;
	let confirmedBytes = 0;
	/**
	Bytes that the outstanding ping will confirm; 0 when there is none.
	*/
	let probedBytes = 0;
	let probedAt = 0;

	const countUnconfirmed = (): number => sentBytes - confirmedBytes;

	function updateProbe(): void {
		if (probedBytes > 0 || countUnconfirmed() <= windowBytes / 2) {
			return;
		}

		probedBytes = sentBytes;
		probedAt = performance.now();
		ping(String(sentBytes));
	}

	return {
		addSent(bytes) {
			sentBytes += bytes;
			updateProbe();
		},
		countSent: () => sentBytes,
		applyPong(text) {
			// An invalid count would close the window permanently, and one above the sent bytes would keep it open.
			const bytes = Number(text);
			if (!(Number.isSafeInteger(bytes) && bytes >= 0 && bytes <= sentBytes)) {
				return false;
			}

			confirmedBytes = Math.max(confirmedBytes, bytes);
			probedBytes = confirmedBytes >= probedBytes ? 0 : probedBytes;
			updateProbe();
			return true;
		},
		countUnconfirmed,
		isReady: () => countUnconfirmed() <= windowBytes,
		measureWait: now => probedBytes === 0 ? 0 : now - probedAt,
		markPaused(now) {
			probedAt = now;
		},
	};
}

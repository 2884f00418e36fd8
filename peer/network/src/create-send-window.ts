import type {SendWindow} from './send-window.ts';

/**
Bytes that may be under way to a node before it counts as not ready: little enough that those of twenty nodes pass an uplink of
7 Mbit/s within 0.4 s, and many times what a link carries within its round trip.
*/
const windowBytes = 16 * 1024;

/**
 Creates the count of what is under way on a link. A ping follows what was sent in the same stream, so its answer confirms
 all that was sent before it.

 @example
 const sendWindow = createSendWindow(text => socket.ping(text));
 sendWindow.addSent(text.length);
 */
export function createSendWindow(ping: (text: string) => void): SendWindow {
	let sentBytes = 0;
	let confirmedBytes = 0;
	/**
	Bytes that a ping under way will confirm; 0 when there is none.
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
			// Taken at its word, a number that is none closed the window for good, and one too large opened it for good.
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

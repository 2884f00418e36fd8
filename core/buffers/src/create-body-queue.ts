import type {BodyQueue} from './body-queue.ts';
import type {WaitingBody} from './waiting-body.ts';

type BodyQueueOptions = {
	readonly waitMs: number;
	/**
	Bytes that are held for an account.
	*/
	readonly countAccountBytes: (account: string) => number;
};

/**
Requests that may wait; each holds a connection and its head.
*/
const maximumWaiting = 256;

/**
 Creates the queue of bodies that wait for room: the most urgent first, among these the account that holds least, then the oldest.

 @example
 const queue = createBodyQueue({waitMs: 500, countAccountBytes: () => 0});
 const end = queue.add({account: 'a', urgency: 0, didHold: () => false, settle(isHeld) {}});
 */
export function createBodyQueue({waitMs, countAccountBytes}: BodyQueueOptions): BodyQueue {
	const waiting = new Set<WaitingBody>();
	let isDraining = false;

	function settle(body: WaitingBody, isHeld: boolean): void {
		if (waiting.delete(body)) {
			body.settle(isHeld);
		}
	}

	function listInOrder(): readonly WaitingBody[] {
		return [...waiting].toSorted((a, b) => a.urgency === b.urgency ? countAccountBytes(a.account) - countAccountBytes(b.account) : a.urgency - b.urgency);
	}

	return {
		add(body) {
			if (waiting.size >= maximumWaiting) {
				body.settle(false);
				return () => {
					// It does not wait.
				};
			}

			waiting.add(body);
			const timer = setTimeout(() => {
				settle(body, false);
			}, waitMs);
			return () => {
				clearTimeout(timer);
				settle(body, false);
			};
		},
		drain() {
			if (isDraining || waiting.size === 0) {
				return;
			}

			isDraining = true;
			// The order is found anew after each, since it depends on what is held.
			for (let next = listInOrder().find(body => body.didHold()); next !== undefined; next = listInOrder().find(body => body.didHold())) {
				settle(next, true);
			}

			isDraining = false;
		},
		count: () => waiting.size,
	};
}

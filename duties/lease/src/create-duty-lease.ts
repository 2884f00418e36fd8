import {toValvesaddleError} from '@valvesaddle/error';
import type {DutyLease} from './duty-lease.ts';
import type {DutyLeaseOptions} from './duty-lease-options.ts';

/**
Part of the lease at its end in which the holder does not act: its call must arrive before another node can hold the duty.
*/
const marginShare = 0.2;
/**
Leases after which a candidate looks for itself whether the duty is free, in case it missed the word that it is.
*/
const checkLeases = 4;

type Held = {
	readonly lease: string;
	readonly token: number;
	/**
	Steady time until which this node may act.
	*/
	readonly until: number;
};

/**
 Creates a node's part in holding a duty. The store's conditional write decides who holds it; the revision of that write is the
 fencing token, so tokens rise with each holder and no two holders have the same. How long the lease holds is counted from when
 its renewal was sent, on the steady clock.

 @example
 const duty = createDutyLease({store, key: 'holder', holder: 'a1.7f', leaseMs: 2000, standAsideMs: 4000, logger, metrics});
 await duty.update(true);
 duty.token(); // 12
 */
export function createDutyLease(options: DutyLeaseOptions): DutyLease {
	const {store, key, holder, leaseMs, logger, metrics} = options;
	const usableMs = leaseMs * (1 - marginShare);
	let held: Held | undefined;
	let asideUntil = -Infinity;
	/**
	Steady time from which the duty may be free for all that is known here.
	*/
	let triableAt = -Infinity;
	let attempts = 0;
	let isClosed = false;
	/**
	The step under way: a duty that is being taken has to be handed over too.
	*/
	let updating: Promise<void> = Promise.resolve();

	function getHeld(): Held | undefined {
		return held !== undefined && performance.now() < held.until ? held : undefined;
	}

	function markLost(reason: string): void {
		if (held === undefined) {
			return;
		}

		logger.info({
			name: 'duty-lost', duty: key, token: held.token, reason,
		});
		held = undefined;
		// The next holder may have acted already: a third change within its time would look as if two acted by turns.
		asideUntil = performance.now() + options.reacquireDelayMs;
	}

	function recordFailure(step: string, error: unknown): void {
		metrics.increment('duties.store-failures');
		logger.info({
			name: 'duty-step-failed', duty: key, step, reason: toValvesaddleError(error).message,
		});
	}

	function markTaken(lease: string, token: number, sentAt: number): void {
		held = {lease, token, until: sentAt + usableMs};
		metrics.increment('duties.taken');
		logger.info({name: 'duty-taken', duty: key, token});
	}

	async function releaseLease(lease: string): Promise<void> {
		const released = await store.release(lease);
		released.mapErr(error => {
			recordFailure('release', error);
		});
	}

	/**
	A write without an answer is this node's own if the entry has its words.
	*/
	async function findOwn(text: string): Promise<number | undefined> {
		const found = await store.read(key);
		return found.match(entry => entry?.text === text ? entry.revision : undefined, error => {
			recordFailure('read', error);
			return undefined;
		});
	}

	/**
	Names this process as the holder, if the entry has the expected revision; resolves to the token.
	*/
	async function writeHolder(step: string, expected: number, lease: string): Promise<number | undefined> {
		attempts++;
		const text = JSON.stringify({holder, attempt: attempts});
		const written = await store.write({
			key, text, expected, lease,
		});
		if (written.isOk()) {
			return written.value;
		}

		recordFailure(step, written.error);
		return findOwn(text);
	}

	async function take(): Promise<void> {
		const sentAt = performance.now();
		triableAt = sentAt + (checkLeases * leaseMs);
		const opened = await store.openLease(leaseMs);
		if (opened.isErr()) {
			recordFailure('lease', opened.error);
			return;
		}

		const lease = opened.value;
		const token = await writeHolder('take', 0, lease);
		if (token === undefined) {
			await releaseLease(lease);
		} else {
			markTaken(lease, token, sentAt);
		}
	}

	async function updateHeld(current: Held): Promise<void> {
		const sentAt = performance.now();
		const renewed = await store.renew(current.lease);
		renewed.match(isHeld => {
			if (isHeld && held !== undefined) {
				held = {...held, until: sentAt + usableMs};
			} else {
				markLost('its lease has ended');
			}
		}, error => {
			recordFailure('renew', error);
		});
	}

	async function isConfirmed(): Promise<boolean> {
		const current = getHeld();
		if (current === undefined) {
			return false;
		}

		const found = await store.read(key);
		const isNamed = found.match(entry => entry?.revision === current.token, () => true);
		if (!isNamed) {
			markLost('another node holds it');
		}

		return isNamed;
	}

	async function runStep(isCandidate: boolean): Promise<void> {
		if (held !== undefined && getHeld() === undefined) {
			markLost('its lease was not renewed in time');
		}

		if (held !== undefined) {
			await updateHeld(held);
		} else if (isCandidate && !isClosed && performance.now() >= Math.max(asideUntil, triableAt)) {
			await take();
		}
	}

	return {
		async update(isCandidate) {
			updating = runStep(isCandidate);
			await updating;
		},
		token: () => getHeld()?.token,
		markFree() {
			triableAt = -Infinity;
		},
		async raiseToken() {
			const current = getHeld();
			if (current === undefined) {
				return undefined;
			}

			const token = await writeHolder('raise', current.token, current.lease);
			if (token === undefined || held === undefined) {
				// Whether the entry names this node is not known, so it acts no more.
				markLost('its token could not be raised');
				return undefined;
			}

			held = {...held, token};
			return getHeld()?.token;
		},
		confirm: isConfirmed,
		async release() {
			isClosed = true;
			await updating;
			const current = held;
			markLost('handed over');
			if (current !== undefined) {
				await releaseLease(current.lease);
			}
		},
	};
}

import {toValvesaddleError} from '@valvesaddle/error';
import type {DutyLease} from './duty-lease.ts';
import type {DutyLeaseOptions} from './duty-lease-options.ts';

/**
Share of the lease at its end in which the holder no longer acts, so that its calls arrive before another node can acquire the duty.
*/
const safetyMarginShare = 0.2;
/**
Interval between attempts of a candidate, in lease durations, in case it missed the event that the duty is free.
*/
const retryIntervalLeases = 4;

type HeldLease = {
	readonly lease: string;
	readonly token: number;
	/**
	Time on the steady clock until which this node may act.
	*/
	readonly validUntil: number;
};

/**
 Creates a node's lease on a duty. A conditional write to the store decides which node holds the duty. The revision of that write is
 the fencing token, so each holder has a higher token than the previous one. The lease duration is counted on the steady clock
 from the time a renewal is sent.

 @example
 const duty = createDutyLease({store, key: 'holder', holder: 'a1.7f', leaseMs: 2000, reacquireDelayMs: 4000, logger, metrics});
 await duty.update(true);
 duty.token(); // 12
 */
export function createDutyLease(options: DutyLeaseOptions): DutyLease {
	const {store, key, holder, leaseMs, logger, metrics} = options;
	const usableMs = leaseMs * (1 - safetyMarginShare);
	let held: HeldLease | undefined;
	let reacquireAt = -Infinity;
	/**
	Time on the steady clock of the next attempt, unless the duty is marked free before.
	*/
	let nextAttemptAt = -Infinity;
	let attempts = 0;
	/**
	Time on the steady clock at which the holder was a candidate last.
	*/
	let candidateAt = -Infinity;
	let isClosed = false;
	/**
	The update in progress; `release` waits for it, since it may acquire the duty.
	*/
	let currentUpdate: Promise<void> = Promise.resolve();

	function getHeld(): HeldLease | undefined {
		return held !== undefined && performance.now() < held.validUntil ? held : undefined;
	}

	function markLost(reason: string): void {
		if (held === undefined) {
			return;
		}

		logger.info({
			name: 'duty-lost', duty: key, token: held.token, reason,
		});
		held = undefined;
		// The next holder may have acted already; acquiring the duty again at once would look like two nodes acting alternately.
		reacquireAt = performance.now() + options.reacquireDelayMs;
	}

	function recordFailure(step: string, error: unknown): void {
		metrics.increment('duties.store-failures');
		logger.info({
			name: 'duty-step-failed', duty: key, step, reason: toValvesaddleError(error).message,
		});
	}

	function markAcquired(lease: string, token: number, sentAt: number): void {
		held = {lease, token, validUntil: sentAt + usableMs};
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
	Reads back a write that had no answer: resolves to the revision of the entry if it has the written text.
	*/
	async function findOwnWrite(text: string): Promise<number | undefined> {
		const found = await store.read(key);
		return found.match(entry => entry?.text === text ? entry.revision : undefined, error => {
			recordFailure('read', error);
			return undefined;
		});
	}

	/**
	Writes this process as the holder if the entry has the expected revision; resolves to the fencing token.
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
		return findOwnWrite(text);
	}

	async function acquireLease(): Promise<void> {
		const sentAt = performance.now();
		nextAttemptAt = sentAt + (retryIntervalLeases * leaseMs);
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
			markAcquired(lease, token, sentAt);
		}
	}

	async function updateLease(current: HeldLease): Promise<void> {
		const sentAt = performance.now();
		const renewed = await store.renew(current.lease);
		renewed.match(isHeld => {
			if (isHeld && held !== undefined) {
				held = {...held, validUntil: sentAt + usableMs};
			} else {
				markLost('lease expired');
			}
		}, error => {
			recordFailure('renew', error);
		});
	}

	/**
	Releases a duty that other nodes are to hold: their counts are not sent to this one.
	*/
	async function releaseToCandidates({lease}: HeldLease): Promise<void> {
		markLost('no longer a candidate');
		await releaseLease(lease);
	}

	async function isStillHolder(): Promise<boolean> {
		const current = getHeld();
		if (current === undefined) {
			return false;
		}

		const found = await store.read(key);
		const isHolder = found.match(entry => entry?.revision === current.token, () => true);
		if (!isHolder) {
			markLost('the store does not name this node as the holder');
		}

		return isHolder;
	}

	async function runStep(isCandidate: boolean): Promise<void> {
		if (held !== undefined && getHeld() === undefined) {
			markLost('lease was not renewed in time');
		}

		const now = performance.now();
		candidateAt = isCandidate ? now : candidateAt;
		if (held !== undefined) {
			// Nodes join and leave one by one, and the candidates may change with each.
			await (now - candidateAt > leaseMs ? releaseToCandidates(held) : updateLease(held));
		} else if (isCandidate && !isClosed && now >= Math.max(reacquireAt, nextAttemptAt)) {
			await acquireLease();
		}
	}

	return {
		async update(isCandidate) {
			currentUpdate = runStep(isCandidate);
			await currentUpdate;
		},
		token: () => getHeld()?.token,
		markFree() {
			nextAttemptAt = -Infinity;
		},
		async raiseToken() {
			const current = getHeld();
			if (current === undefined) {
				return undefined;
			}

			const token = await writeHolder('raise', current.token, current.lease);
			if (token === undefined || held === undefined) {
				// The write may have failed or lost its answer, so this node can no longer act as the holder.
				markLost('fencing token could not be raised');
				return undefined;
			}

			held = {...held, token};
			return getHeld()?.token;
		},
		confirm: isStillHolder,
		async release() {
			isClosed = true;
			await currentUpdate;
			const current = held;
			markLost('released');
			if (current !== undefined) {
				await releaseLease(current.lease);
			}
		},
	};
}

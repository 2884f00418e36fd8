import type {BufferLimits} from './buffer-limits.ts';
import type {ByteHold} from './byte-hold.ts';
import type {ByteKind} from './byte-kind.ts';
import type {ByteLedger} from './byte-ledger.ts';
import {createBodyQueue} from './create-body-queue.ts';
import {decideHold} from './decide-hold.ts';
import {decideReadAhead} from './decide-read-ahead.ts';

/**
 Creates the account of the bytes that a node holds.

 @example
 const ledger = createByteLedger({limitBytes: 1e8, pressureShare: 0.5, accountShare: 0.5, waitMs: 500, aheadBytes: 262_144, unreadMs: 1000, stuckMs: 10_000});
 const hold = ledger.open('sawmill', 3);
 hold.set('unsent', 4096);
 hold.release();
 */
export function createByteLedger(limits: BufferLimits): ByteLedger {
	const byAccount = new Map<string, number>();
	const byKind: Record<ByteKind, number> = {body: 0, received: 0, unsent: 0};
	const queue = createBodyQueue({waitMs: limits.waitMs, countAccountBytes});

	function countAccountBytes(account: string): number {
		return byAccount.get(account) ?? 0;
	}

	function countBytes(kind?: ByteKind): number {
		return kind === undefined ? byKind.body + byKind.received + byKind.unsent : byKind[kind];
	}

	function add(account: string, kind: ByteKind, bytes: number): void {
		byKind[kind] += bytes;
		const accountBytes = countAccountBytes(account) + bytes;
		if (accountBytes === 0) {
			byAccount.delete(account);
		} else {
			byAccount.set(account, accountBytes);
		}
	}

	function decide(account: string, urgency: number, bytes: number): ReturnType<typeof decideHold> {
		const heldBytes = countBytes();
		// The accounts are listed only if they matter.
		const isBelow = heldBytes + bytes <= limits.limitBytes * limits.pressureShare;
		return decideHold({
			...limits,
			heldBytes,
			accountBytes: countAccountBytes(account),
			otherBytes: isBelow ? [] : byAccount.entries().filter(([name]) => name !== account).map(([, held]) => held).toArray(),
			bytes,
			isUrgent: urgency === 0,
		});
	}

	function open(account: string, urgency: number): ByteHold {
		const held: Record<ByteKind, number> = {body: 0, received: 0, unsent: 0};
		let isReleased = false;
		let endWait: (() => void) | undefined;

		function set(kind: ByteKind, bytes: number): void {
			if (isReleased || bytes === held[kind]) {
				return;
			}

			const change = bytes - held[kind];
			held[kind] = bytes;
			add(account, kind, change);
			if (change < 0) {
				queue.drain();
			}
		}

		function didHoldBody(bytes: number): boolean {
			if (decide(account, urgency, bytes) !== 'hold') {
				return false;
			}

			set('body', bytes);
			return true;
		}

		function hasRoom(bytes: number): boolean {
			return !isReleased && decide(account, urgency, bytes) === 'hold';
		}

		return {
			limits,
			set,
			add(kind, change) {
				set(kind, held[kind] + change);
			},
			count: kind => held[kind],
			hasRoom,
			canReadAhead: pausedMs => decideReadAhead({
				...limits, unsentBytes: held.unsent, pausedMs, hasRoom: hasRoom(limits.aheadBytes),
			}) === 'read',
			async acquireBody(bytes) {
				const decision = isReleased ? 'refuse' : decide(account, urgency, bytes);
				if (decision !== 'wait') {
					return decision === 'hold' && didHoldBody(bytes);
				}

				const {promise, resolve} = Promise.withResolvers<boolean>();
				endWait = queue.add({
					account, urgency, didHold: () => didHoldBody(bytes), settle: resolve,
				});
				const isHeld = await promise;
				endWait();
				return isHeld;
			},
			release() {
				for (const kind of ['body', 'received', 'unsent'] as const) {
					set(kind, 0);
				}

				isReleased = true;
				endWait?.();
			},
		};
	}

	return {
		limits,
		open,
		countBytes,
		countAccountBytes,
		isPressed: () => queue.count() > 0 || countBytes() > limits.limitBytes * limits.pressureShare,
		countWaiting: queue.count,
	};
}

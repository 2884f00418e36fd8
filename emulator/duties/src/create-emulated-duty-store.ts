import {errAsync, ResultAsync} from 'neverthrow';
import type {DutyStore, EntryWrite, StoredEntry} from '@valvesaddle/duty-types';
import type {PausedRuntime} from '@valvesaddle/emulator-beliefs';
import {ValvesaddleError} from '@valvesaddle/error';
import type {FaultSchedule} from './fault-schedule.ts';

type Entry = StoredEntry & {readonly lease: string | undefined};

type StoreOptions = {
	readonly runtime: PausedRuntime;
	readonly faults: FaultSchedule;
	readonly random: () => number;
	/**
	Called with the key of each removed entry.
	*/
	readonly onRemoved: (key: string) => void;
};

/**
Round trip of a call, timeout of its caller, and longest delay after which a call without an answer is carried out, in
milliseconds.
*/
const answerMs = 4;
const timeoutMs = 1000;
const maximumDelayMs = 3500;
const lostShare = 0.4;

/**
 Creates an emulated key-value store for duties. `connect` returns the client of a node.

 @example
 const store = createEmulatedDutyStore({runtime, faults, random, onRemoved() {}});
 const client = store.connect(0);
 */
export function createEmulatedDutyStore({runtime, faults, random, onRemoved}: StoreOptions): {readonly connect: (node: number) => DutyStore} {
	const entries = new Map<string, Entry>();
	const leases = new Map<string, {readonly expiresAt: number; readonly durationMs: number}>();
	let revision = 1;
	let lastLease = 0;

	function removeEntry(key: string): void {
		entries.delete(key);
		revision++;
		onRemoved(key);
	}

	function closeLease(lease: string): void {
		leases.delete(lease);
		for (const [key, entry] of entries) {
			if (entry.lease === lease) {
				removeEntry(key);
			}
		}
	}

	function updateLeases(): void {
		for (const [lease, {expiresAt}] of leases) {
			if (runtime.now() >= expiresAt) {
				closeLease(lease);
			}
		}
	}

	function write({key, text, expected, lease, removed = []}: EntryWrite): number | undefined {
		if ((entries.get(key)?.revision ?? 0) !== expected || (lease !== undefined && !leases.has(lease))) {
			return undefined;
		}

		revision++;
		entries.set(key, {text, revision, lease});
		for (const name of removed) {
			entries.delete(name);
		}

		return revision;
	}

	async function call<Value>(node: number, carryOut: () => Value): Promise<Value> {
		const sentAt = Math.max(faults.findEnd('freeze', node), runtime.now()) + (answerMs / 2);
		const {promise, resolve, reject} = Promise.withResolvers<Value>();
		runtime.add(sentAt, () => {
			updateLeases();
			if (faults.isActive('store-down') || faults.isActive('store-refuses', node)) {
				reject(new ValvesaddleError('ERR_VALVESADDLE_KV_UNAVAILABLE', 'refused'));
			} else if (faults.isActive('store-loses') && random() < lostShare) {
				runtime.add(sentAt + (random() * maximumDelayMs), () => {
					updateLeases();
					carryOut();
				});
				runtime.add(sentAt + timeoutMs, () => {
					reject(new ValvesaddleError('ERR_VALVESADDLE_KV_UNAVAILABLE', 'no answer'));
				});
			} else {
				const value = carryOut();
				runtime.add(Math.max(faults.findEnd('freeze', node), sentAt) + (answerMs / 2), () => {
					resolve(value);
				});
			}
		});
		return promise;
	}

	const toResult = <Value>(promise: Promise<Value>) => ResultAsync.fromPromise(promise, error => error as ValvesaddleError);

	// Leases expire also while there are no calls.
	function startLeaseExpiry(): void {
		updateLeases();
		runtime.add(runtime.now() + 20, startLeaseExpiry);
	}

	startLeaseExpiry();

	return {
		connect: node => ({
			openLease: leaseMs => toResult(call(node, () => {
				lastLease++;
				leases.set(String(lastLease), {expiresAt: runtime.now() + leaseMs, durationMs: leaseMs});
				return String(lastLease);
			})),
			renew: lease => toResult(call(node, () => {
				const held = leases.get(lease);
				if (held !== undefined) {
					leases.set(lease, {...held, expiresAt: runtime.now() + held.durationMs});
				}

				return held !== undefined;
			})),
			release: lease => toResult(call(node, () => {
				closeLease(lease);
			})),
			write: entry => toResult(call(node, () => write(entry))),
			read: key => key === '' ? errAsync(new ValvesaddleError('ERR_VALVESADDLE_KV_UNAVAILABLE', 'no key')) : toResult(call(node, () => entries.get(key))),
		}),
	};
}

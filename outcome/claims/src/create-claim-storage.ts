import {unwrapResult, ValvesaddleError} from '@valvesaddle/error';
import type {KvStore} from '@valvesaddle/kv';
import type {ClaimHead} from './claim-head.ts';
import {claimSegmentSchema} from './claim-segment-schema.ts';
import type {ClaimSegment} from './claim-segment.ts';
import type {ClaimStorage} from './claim-storage.ts';

/**
Archived segments read at once.
*/
const readsAtOnce = 8;

/**
 Creates the storage of one shard. Keys: `valvesaddle/claims/<shard>/head` and `…/segment/<number>`.

 @example
 const {head, modifyIndex} = await createClaimStorage(kv, 0, 3_600_000).readHead();
 */
export function createClaimStorage(kv: KvStore, shard: number, windowMs: number): ClaimStorage {
	const prefix = `valvesaddle/claims/${shard}`;

	async function readSegment(number: number): Promise<ClaimSegment | undefined> {
		const entry = unwrapResult(await kv.get(`${prefix}/segment/${number}`));
		return entry && parseSegment(entry.value);
	}

	async function removeOld(segment: ClaimSegment): Promise<void> {
		const old = segment.number - countKept(segment, windowMs);
		if (old >= 0) {
			unwrapResult(await kv.delete(`${prefix}/segment/${old}`));
		}
	}

	return {
		async readHead() {
			const entry = unwrapResult(await kv.get(`${prefix}/head`));
			return entry === undefined
				? {head: {number: 0, entries: []}, modifyIndex: 0}
				: {head: parseSegment(entry.value), modifyIndex: entry.modifyIndex};
		},
		writeHead: async (head, modifyIndex) => unwrapResult(await kv.compareAndSwap(`${prefix}/head`, JSON.stringify(head), modifyIndex)),
		async readArchived(newest, oldest) {
			const found: ClaimSegment[] = [];
			for (let next = newest; next >= oldest; next -= readsAtOnce) {
				const count = Math.min(readsAtOnce, (next - oldest) + 1);
				const numbers = Array.from({length: count}, (_, index) => next - index);
				// eslint-disable-next-line no-await-in-loop -- the newer ones tell whether older ones matter
				const segments = await Promise.all(numbers.map(async number => readSegment(number)));
				const current = segments.filter(segment => segment !== undefined).filter(segment => isCurrent(segment, windowMs));
				found.push(...current);
				if (current.length < count) {
					break;
				}
			}

			return found.toReversed();
		},
		async archive(segment) {
			unwrapResult(await kv.compareAndSwap(`${prefix}/segment/${segment.number}`, JSON.stringify(segment), 0));
			await removeOld(segment);
		},
	};
}

function parseSegment(text: string): ClaimHead {
	try {
		return claimSegmentSchema.parse(JSON.parse(text));
	} catch (error) {
		throw new ValvesaddleError('ERR_VALVESADDLE_MESSAGE_INVALID', 'a stored claim segment has an unknown form', {cause: error});
	}
}

function isCurrent({entries}: ClaimSegment, windowMs: number): boolean {
	return Date.now() - (entries.at(-1)?.t ?? 0) < windowMs;
}

/**
Segments to keep behind this one, judged by the time that it covers, with a margin of two.
*/
function countKept({entries}: ClaimSegment, windowMs: number): number {
	const spanMs = Math.max(1, (entries.at(-1)?.t ?? 0) - (entries[0]?.t ?? 0));
	return Math.ceil(windowMs / spanMs) * 2;
}

import {unwrapResult, ValvesaddleError} from '@valvesaddle/error';
import type {KvStore} from '@valvesaddle/kv';
import type {ClaimHead} from './claim-head.ts';
import {claimSegmentSchema} from './claim-segment-schema.ts';
import type {ClaimSegment} from './claim-segment.ts';
import type {ClaimStorage} from './claim-storage.ts';

const maximumParallelReads = 8;

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

	async function removeExpired(segment: ClaimSegment): Promise<void> {
		const expired = segment.number - countRetained(segment, windowMs);
		if (expired >= 0) {
			unwrapResult(await kv.delete(`${prefix}/segment/${expired}`));
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
			for (let next = newest; next >= oldest; next -= maximumParallelReads) {
				const count = Math.min(maximumParallelReads, (next - oldest) + 1);
				const numbers = Array.from({length: count}, (_, index) => next - index);
				// eslint-disable-next-line no-await-in-loop -- older segments are read only while the newer ones are in force
				const segments = await Promise.all(numbers.map(async number => readSegment(number)));
				const inForce = segments.filter(segment => segment !== undefined).filter(segment => isInForce(segment, windowMs));
				found.push(...inForce);
				if (inForce.length < count) {
					break;
				}
			}

			return found.toReversed();
		},
		async archive(segment) {
			unwrapResult(await kv.compareAndSwap(`${prefix}/segment/${segment.number}`, JSON.stringify(segment), 0));
			await removeExpired(segment);
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

function isInForce({entries}: ClaimSegment, windowMs: number): boolean {
	return Date.now() - (entries.at(-1)?.t ?? 0) < windowMs;
}

/**
Number of segments to keep before this one, estimated from the time that it covers, with a margin of factor 2.
*/
function countRetained({entries}: ClaimSegment, windowMs: number): number {
	const spanMs = Math.max(1, (entries.at(-1)?.t ?? 0) - (entries[0]?.t ?? 0));
	return Math.ceil(windowMs / spanMs) * 2;
}

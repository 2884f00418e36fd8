import {toValvesaddleError} from '@valvesaddle/error';
import type {ClaimEntry} from './claim-entry.ts';
import type {ClaimHead} from './claim-head.ts';
import type {ClaimJournal} from './claim-journal.ts';
import type {ClaimShardOptions} from './claim-shard-options.ts';
import type {StoredHead} from './stored-head.ts';
import {createClaimStorage} from './create-claim-storage.ts';
import {createClaimTable} from './create-claim-table.ts';

/**
Limits the size of the head, which every batch rewrites as a whole.
*/
const maximumSegmentEntries = 64;
/**
Time for which a head is not read again; a write on an outdated head fails its compare-and-swap.
*/
const headCacheMs = 1000;

/**
 Creates the journal of one shard.

 The write that starts a new segment fixes the entries of the preceding one and stores them as `previous`; they are
 archived only after that, so no writer can archive a segment that another one still appends to.

 @example
 await journal.update();
 const isWritten = await journal.append(entries);
 */
export function createClaimJournal(options: ClaimShardOptions): ClaimJournal {
	const {metrics} = options;
	const storage = createClaimStorage(options.kv, options.shard, options.windowMs);
	const table = createClaimTable(options.windowMs);
	let stored: StoredHead | undefined;
	let readAt = 0;
	let appliedNumber = -1;
	let pendingRead: Promise<void> | undefined;

	async function read(): Promise<void> {
		const latest = await storage.readHead();
		const {head} = latest;
		if (head.number > appliedNumber) {
			const newestArchived = head.previous === undefined ? head.number - 1 : head.number - 2;
			const archived = await storage.readArchived(newestArchived, Math.max(0, appliedNumber));
			for (const {entries} of archived) {
				table.apply(entries);
			}

			options.logger.info({name: 'claim-shard-reloaded', shard: options.shard, claims: table.size()});
		}

		table.apply(head.previous ?? []);
		table.apply(head.entries);
		appliedNumber = head.number;
		stored = latest;
		readAt = Date.now();
	}

	async function update(): Promise<void> {
		if (stored !== undefined && Date.now() - readAt < headCacheMs) {
			return;
		}

		pendingRead ??= read();
		try {
			await pendingRead;
		} finally {
			pendingRead = undefined;
		}
	}

	/**
	Archives the preceding segment if the head contains it; true when none is left to archive.
	*/
	async function hasArchivedPrevious({number, previous}: ClaimHead): Promise<boolean> {
		if (previous === undefined) {
			return true;
		}

		try {
			await storage.archive({number: number - 1, entries: previous});
			return true;
		} catch {
			metrics.increment('claims.archive-failures');
			return false;
		}
	}

	async function buildNextHead(head: ClaimHead, entries: readonly ClaimEntry[]): Promise<ClaimHead> {
		const isArchived = await hasArchivedPrevious(head);
		const isFull = head.entries.length + entries.length > maximumSegmentEntries;
		return isFull && isArchived ? {number: head.number + 1, entries, previous: head.entries} : {number: head.number, entries: [...head.entries, ...entries], previous: isArchived ? undefined : head.previous};
	}

	return {
		update,
		find: table.find,
		async append(entries) {
			if (stored === undefined) {
				return false;
			}

			const {head, modifyIndex} = stored;
			const next = await buildNextHead(head, entries);
			stored = undefined;
			metrics.increment('claims.writes');
			try {
				const isWritten = await storage.writeHead(next, modifyIndex);
				metrics.increment(isWritten ? 'claims.won-races' : 'claims.lost-races');
				return isWritten;
			} catch (error) {
				if (toValvesaddleError(error).code !== 'ERR_VALVESADDLE_KV_UNKNOWN_OUTCOME') {
					throw error;
				}

				metrics.increment('claims.lost-replies');
				return false;
			}
		},
		sweep: table.sweep,
		size: table.size,
	};
}

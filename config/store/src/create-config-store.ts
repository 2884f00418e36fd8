import {
	err,
	errAsync,
	ok,
	ResultAsync,
	type Result,
} from 'neverthrow';
import {formatRecord, parseRecord} from '@valvesaddle/config-schema';
import {ValvesaddleError} from '@valvesaddle/error';
import type {KvEntry, KvStore} from '@valvesaddle/kv';
import type {ConfigurationRecord} from '@valvesaddle/types';
import type {Change} from './change.ts';
import type {ConfigStore} from './config-store.ts';

const currentKey = 'valvesaddle/configuration/current';
const historyPrefix = 'valvesaddle/configuration/history';
/**
Number of accepted changes kept, so that a repeated `apply` is recognized.
*/
const maximumRecentChanges = 500;
const readBackAttempts = 3;
/**
Maximum size of a value in the key-value service.
*/
const maximumValueBytes = 1024 * 1024;

type StoredRecord = {
	readonly record: ConfigurationRecord | undefined;
	readonly modifyIndex: number;
};

/**
 Creates the configuration store. Keys: `valvesaddle/configuration/current`, `…/history/<revision>`.

 @example
 const accepted = await store.apply({changeId: 'raise-floor', expectedRevision: 7, configuration, author: 'iva'});
 */
export function createConfigStore(kv: KvStore): ConfigStore {
	const readStored = (): ResultAsync<StoredRecord, ValvesaddleError> => kv.get(currentKey).andThen(entry => toStoredRecord(entry));

	/**
	Archives the revision that is about to be replaced. It is only ever created, so a repeated write has no effect.
	*/
	function writeHistory(record: ConfigurationRecord | undefined): ResultAsync<unknown, ValvesaddleError> {
		return record === undefined
			? ResultAsync.fromSafePromise(Promise.resolve())
			: kv.compareAndSwap(`${historyPrefix}/${record.revision}`, formatRecord(record), 0);
	}

	async function readBackChange(change: Change): Promise<Result<ConfigurationRecord, ValvesaddleError>> {
		for (let attempt = 0; attempt < readBackAttempts; attempt++) {
			// eslint-disable-next-line no-await-in-loop -- attempts are sequential
			const stored = await readStored();
			const accepted = stored.isOk() ? findAccepted(stored.value.record, change) : undefined;
			if (accepted !== undefined) {
				return ok(accepted);
			}
		}

		// The change may still be applied: its write may be in flight.
		return err(new ValvesaddleError('ERR_VALVESADDLE_CONFIGURATION_UNKNOWN', `the reply to change "${change.changeId}" was lost`));
	}

	/**
	Rejects a configuration that exceeds the size of a value, before anything is written.
	*/
	function checkSize(text: string): Result<string, ValvesaddleError> {
		return text.length <= maximumValueBytes
			? ok(text)
			: err(new ValvesaddleError('ERR_VALVESADDLE_CONFIGURATION_INVALID', `the configuration takes ${text.length} bytes as stored, more than ${maximumValueBytes}`));
	}

	async function write(change: Change, {record, modifyIndex}: StoredRecord): Promise<Result<ConfigurationRecord, ValvesaddleError>> {
		const next = toRecord(change, record);
		const text = checkSize(formatRecord(next));
		if (text.isErr()) {
			return err(text.error);
		}

		const written = await writeHistory(record).andThen(() => kv.compareAndSwap(currentKey, text.value, modifyIndex));
		if (written.isErr()) {
			return written.error.code === 'ERR_VALVESADDLE_KV_UNKNOWN_OUTCOME' ? readBackChange(change) : err(written.error);
		}

		return written.value ? ok(next) : err(toConflictError(change, undefined));
	}

	function apply(change: Change): ResultAsync<ConfigurationRecord, ValvesaddleError> {
		return readStored().andThen(stored => {
			const accepted = findAccepted(stored.record, change);
			if (accepted) {
				return ok(accepted);
			}

			const revision = stored.record?.revision ?? 0;
			return revision === change.expectedRevision
				? new ResultAsync(write(change, stored))
				: errAsync(toConflictError(change, revision));
		});
	}

	return {
		read: () => readStored().map(({record}) => record),
		readRevision: revision => readStored().andThen(({record}) => record?.revision === revision
			? ok(record)
			: kv.get(`${historyPrefix}/${revision}`).andThen(entry => toStoredRecord(entry)).map(stored => stored.record)),
		apply,
		watch: options => kv.watch(currentKey, options).andThen(({entry, index}) => toStoredRecord(entry).map(({record}) => ({record, index}))),
	};
}

function toStoredRecord(entry: KvEntry | undefined): Result<StoredRecord, ValvesaddleError> {
	return entry === undefined
		? ok({record: undefined, modifyIndex: 0})
		: parseRecord(entry.value).map(record => ({record, modifyIndex: entry.modifyIndex}));
}

function toRecord(change: Change, before: ConfigurationRecord | undefined): ConfigurationRecord {
	const revision = change.expectedRevision + 1;
	const recentChanges = [{changeId: change.changeId, revision}, ...(before?.recentChanges ?? [])].slice(0, maximumRecentChanges);
	return {
		revision, changeId: change.changeId, author: change.author, acceptedAt: Date.now(), recentChanges, configuration: change.configuration,
	};
}

/**
Finds the record of a change that was accepted earlier. For older changes only the revision and the id are accurate.
*/
function findAccepted(record: ConfigurationRecord | undefined, change: Change): ConfigurationRecord | undefined {
	const earlier = record?.recentChanges.find(({changeId}) => changeId === change.changeId);
	return record && earlier && {...record, revision: earlier.revision, changeId: earlier.changeId};
}

function toConflictError(change: Change, revision: number | undefined): ValvesaddleError {
	const found = revision === undefined ? 'another change was accepted meanwhile' : `the newest revision is ${revision}`;
	return new ValvesaddleError('ERR_VALVESADDLE_CONFIGURATION_CONFLICT', `change "${change.changeId}" was made against revision ${change.expectedRevision}, but ${found}`);
}

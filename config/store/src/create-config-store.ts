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
Changes remembered to answer an apply that is sent again; six hours' worth at the size designed for.
*/
const mostRecentChanges = 500;
const readBackTries = 3;
/**
The service's own limit for a value.
*/
const largestValueBytes = 1024 * 1024;

type Stored = {
	readonly record: ConfigurationRecord | undefined;
	readonly modifyIndex: number;
};

/**
 Creates the store of the configuration. Keys: `valvesaddle/configuration/current`, `…/history/<revision>`.

 @example
 const accepted = await store.apply({changeId: 'raise-floor', expectedRevision: 7, configuration, author: 'iva'});
 */
export function createConfigStore(kv: KvStore): ConfigStore {
	const readStored = (): ResultAsync<Stored, ValvesaddleError> => kv.get(currentKey).andThen(entry => toStored(entry));

	/**
	Keeps the revision that is about to be replaced; create-only, so writing it twice changes nothing.
	*/
	function writeHistory(record: ConfigurationRecord | undefined): ResultAsync<unknown, ValvesaddleError> {
		return record === undefined
			? ResultAsync.fromSafePromise(Promise.resolve())
			: kv.compareAndSwap(`${historyPrefix}/${record.revision}`, formatRecord(record), 0);
	}

	async function settleLostReply(change: Change): Promise<Result<ConfigurationRecord, ValvesaddleError>> {
		for (let attempt = 0; attempt < readBackTries; attempt++) {
			// eslint-disable-next-line no-await-in-loop -- a try follows on the one before
			const stored = await readStored();
			const accepted = stored.isOk() ? findAccepted(stored.value.record, change) : undefined;
			if (accepted !== undefined) {
				return ok(accepted);
			}
		}

		// Not found does not mean not applied: the write may still be on its way.
		return err(new ValvesaddleError('ERR_VALVESADDLE_CONFIGURATION_UNKNOWN', `the reply to change "${change.changeId}" was lost`));
	}

	/**
	A configuration that no value of the service holds is refused before anything is written.
	*/
	function checkSize(text: string): Result<string, ValvesaddleError> {
		return text.length <= largestValueBytes
			? ok(text)
			: err(new ValvesaddleError('ERR_VALVESADDLE_CONFIGURATION_INVALID', `the configuration takes ${text.length} bytes as stored, more than ${largestValueBytes}`));
	}

	async function write(change: Change, {record, modifyIndex}: Stored): Promise<Result<ConfigurationRecord, ValvesaddleError>> {
		const next = toRecord(change, record);
		const text = checkSize(formatRecord(next));
		if (text.isErr()) {
			return err(text.error);
		}

		const written = await writeHistory(record).andThen(() => kv.compareAndSwap(currentKey, text.value, modifyIndex));
		if (written.isErr()) {
			return written.error.code === 'ERR_VALVESADDLE_KV_UNKNOWN_OUTCOME' ? settleLostReply(change) : err(written.error);
		}

		return written.value ? ok(next) : err(toConflict(change, undefined));
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
				: errAsync(toConflict(change, revision));
		});
	}

	return {
		read: () => readStored().map(({record}) => record),
		readRevision: revision => readStored().andThen(({record}) => record?.revision === revision
			? ok(record)
			: kv.get(`${historyPrefix}/${revision}`).andThen(entry => toStored(entry)).map(stored => stored.record)),
		apply,
		watch: options => kv.watch(currentKey, options).andThen(({entry, index}) => toStored(entry).map(({record}) => ({record, index}))),
	};
}

function toStored(entry: KvEntry | undefined): Result<Stored, ValvesaddleError> {
	return entry === undefined
		? ok({record: undefined, modifyIndex: 0})
		: parseRecord(entry.value).map(record => ({record, modifyIndex: entry.modifyIndex}));
}

function toRecord(change: Change, before: ConfigurationRecord | undefined): ConfigurationRecord {
	const revision = change.expectedRevision + 1;
	const recentChanges = [{changeId: change.changeId, revision}, ...(before?.recentChanges ?? [])].slice(0, mostRecentChanges);
	return {
		revision, changeId: change.changeId, author: change.author, acceptedAt: Date.now(), recentChanges, configuration: change.configuration,
	};
}

/**
The record under which a change was accepted earlier; of an older one only revision and id are known.
*/
function findAccepted(record: ConfigurationRecord | undefined, change: Change): ConfigurationRecord | undefined {
	const earlier = record?.recentChanges.find(({changeId}) => changeId === change.changeId);
	return record && earlier && {...record, revision: earlier.revision, changeId: earlier.changeId};
}

function toConflict(change: Change, revision: number | undefined): ValvesaddleError {
	const found = revision === undefined ? 'another change was accepted meanwhile' : `the newest revision is ${revision}`;
	return new ValvesaddleError('ERR_VALVESADDLE_CONFIGURATION_CONFLICT', `change "${change.changeId}" was made against revision ${change.expectedRevision}, but ${found}`);
}

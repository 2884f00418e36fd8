import type {ResultAsync} from 'neverthrow';
import type {ValvesaddleError} from '@valvesaddle/error';
import type {EntryWrite} from './entry-write.ts';
import type {StoredEntry} from './stored-entry.ts';

/**
Port of the key-value store for duties. Errors: `ERR_VALVESADDLE_KV_UNAVAILABLE` when the store refused or gave no answer; a
write may then have been done.
*/
export type DutyStore = {
	/**
	Opens a lease of so many milliseconds.
	*/
	readonly openLease: (leaseMs: number) => ResultAsync<string, ValvesaddleError>;
	/**
	Renews a lease; `false` when it has ended.
	*/
	readonly renew: (lease: string) => ResultAsync<boolean, ValvesaddleError>;
	readonly release: (lease: string) => ResultAsync<void, ValvesaddleError>;
	/**
	Writes an entry; resolves to its revision, or to `undefined` when the condition does not hold.
	*/
	readonly write: (write: EntryWrite) => ResultAsync<number | undefined, ValvesaddleError>;
	readonly read: (key: string) => ResultAsync<StoredEntry | undefined, ValvesaddleError>;
};

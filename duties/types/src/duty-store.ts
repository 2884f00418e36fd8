import type {ResultAsync} from 'neverthrow';
import type {ValvesaddleError} from '@valvesaddle/error';
import type {EntryWrite} from './entry-write.ts';
import type {StoredEntry} from './stored-entry.ts';

/**
Port of the key-value store for duties. Errors: `ERR_VALVESADDLE_KV_UNAVAILABLE` when the store refused the call or did not
answer; a write may still have been applied.
*/
export type DutyStore = {
	/**
	Opens a lease that expires after `leaseMs` milliseconds without a renewal.
	*/
	readonly openLease: (leaseMs: number) => ResultAsync<string, ValvesaddleError>;
	/**
	Renews a lease; resolves to `false` when it has expired.
	*/
	readonly renew: (lease: string) => ResultAsync<boolean, ValvesaddleError>;
	readonly release: (lease: string) => ResultAsync<void, ValvesaddleError>;
	/**
	Writes an entry; resolves to its new revision, or to `undefined` when the entry does not have the expected one.
	*/
	readonly write: (write: EntryWrite) => ResultAsync<number | undefined, ValvesaddleError>;
	readonly read: (key: string) => ResultAsync<StoredEntry | undefined, ValvesaddleError>;
};

import type {ResultAsync} from 'neverthrow';
import type {ValvesaddleError} from '@valvesaddle/error';
import type {KvWatchOptions} from '@valvesaddle/kv';
import type {ConfigurationRecord} from '@valvesaddle/types';
import type {Change} from './change.ts';
import type {ConfigWatchResult} from './config-watch-result.ts';

/**
Stores the configuration in the key-value service.
*/
export type ConfigStore = {
	/**
	`undefined` before the first change.
	*/
	readonly read: () => ResultAsync<ConfigurationRecord | undefined, ValvesaddleError>;
	readonly readRevision: (revision: number) => ResultAsync<ConfigurationRecord | undefined, ValvesaddleError>;
	/**
	 Accepts a change. Errors: `…CONFIGURATION_CONFLICT` (not applied), `…CONFIGURATION_UNKNOWN` (retry with the
	 same id), `…KV_UNAVAILABLE` (not applied).
	 */
	readonly apply: (change: Change) => ResultAsync<ConfigurationRecord, ValvesaddleError>;
	readonly watch: (options: KvWatchOptions) => ResultAsync<ConfigWatchResult, ValvesaddleError>;
};

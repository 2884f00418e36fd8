import type {ConfigurationRecord} from '@valvesaddle/types';

/**
Result of a configuration watch.
*/
export type ConfigWatchResult = {
	readonly record: ConfigurationRecord | undefined;
	readonly index: number;
};

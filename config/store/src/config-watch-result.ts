import type {ConfigurationRecord} from '@valvesaddle/types';

/**
What a watch of the configuration saw.
*/
export type ConfigWatchResult = {
	readonly record: ConfigurationRecord | undefined;
	readonly index: number;
};

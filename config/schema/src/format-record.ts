import type {ConfigurationRecord} from '@valvesaddle/types';

/**
 Writes a configuration record as it is stored.

 @example
 formatRecord(record); // '{"revision":1,…}'
 */
export function formatRecord(record: ConfigurationRecord): string {
	return JSON.stringify(record);
}

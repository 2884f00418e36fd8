import type {LogEvent} from '@valvesaddle/logger';

/**
A line of a node's log.
*/
export type SpreadingLine = {
	readonly atMs: number;
	readonly node: string;
	readonly event: LogEvent;
};

import type {LogEvent} from '@valvesaddle/logger';

/**
A line of a node's log. The time is in milliseconds after the start.
*/
export type PropagationLogLine = {
	readonly atMs: number;
	readonly node: string;
	readonly event: LogEvent;
};

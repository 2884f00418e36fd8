import type {LogEvent} from '@valvesaddle/logger';

/**
A line of a node's log.
*/
export type PropagationLogLine = {
	readonly atMs: number;
	readonly node: string;
	readonly event: LogEvent;
};

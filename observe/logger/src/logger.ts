import type {LogEvent} from './log-event.ts';

/**
Writes typed lines.
*/
export type Logger = {
	readonly info: (event: LogEvent) => void;
	readonly warn: (event: LogEvent) => void;
	readonly error: (event: LogEvent) => void;
};

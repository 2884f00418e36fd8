import type {LogEvent} from './log-event.ts';

/**
Writes structured log lines.
*/
export type Logger = {
	readonly info: (event: LogEvent) => void;
	readonly warn: (event: LogEvent) => void;
	readonly error: (event: LogEvent) => void;
	/**
	Writes the buffered lines; stops waiting after a short timeout.
	*/
	readonly flush: () => Promise<void>;
};

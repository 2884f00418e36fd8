import type {LogEvent} from './log-event.ts';

/**
Writes typed lines.
*/
export type Logger = {
	readonly info: (event: LogEvent) => void;
	readonly warn: (event: LogEvent) => void;
	readonly error: (event: LogEvent) => void;
	/**
	Writes out what is buffered, as far as the reader takes it within a short time.
	*/
	readonly flush: () => Promise<void>;
};

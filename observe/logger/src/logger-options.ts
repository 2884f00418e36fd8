import type {LogLevel} from './log-level.ts';

/**
Options of `createLogger`.
*/
export type LoggerOptions = {
	readonly node: string;
	readonly level: LogLevel;
	/**
	Destination: `error` writes to standard error synchronously; `output` writes to standard output through a bounded buffer.
	*/
	readonly to?: 'error' | 'output';
};

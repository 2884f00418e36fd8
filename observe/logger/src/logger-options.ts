import type {LogLevel} from './log-level.ts';

/**
Options of `createLogger`.
*/
export type LoggerOptions = {
	readonly node: string;
	readonly level: LogLevel;
	/**
	Where lines go: `error` is standard error, written at once; `output` is standard output, buffered and never waited for.
	*/
	readonly to?: 'error' | 'output';
};

import type {LogLevel} from './log-level.ts';

/**
Options of `createLogger`.
*/
export type LoggerOptions = {
	readonly node: string;
	readonly level: LogLevel;
};

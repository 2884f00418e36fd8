export {createLogger} from './create-logger.ts';
export type {LogEvent} from './log-event.ts';
export type {Logger} from './logger.ts';
export type {LoggerOptions} from './logger-options.ts';
export type {LogLevel} from './log-level.ts';

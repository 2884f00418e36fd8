import process from 'node:process';
import {destination, pino} from 'pino';
import {createBoundedSink} from './create-bounded-sink.ts';
import type {LogEvent} from './log-event.ts';
import type {Logger} from './logger.ts';
import type {LoggerOptions} from './logger-options.ts';

const standardError = 2;

/**
 Creates the logger of a process: JSON lines on standard error, or on standard output through a bounded buffer.

 @example
 const logger = createLogger({node: 'a1', level: 'info'});
 logger.info({name: 'node-state', from: 'starting', to: 'ready'});
 */
export function createLogger(options: LoggerOptions): Logger {
	const sink = options.to === 'output' ? createBoundedSink(process.stdout) : undefined;
	const log = pino({level: options.level, base: {node: options.node}}, sink?.stream ?? destination({dest: standardError, sync: true}));
	const write = (level: 'info' | 'warn' | 'error') => ({name, ...fields}: LogEvent) => {
		log[level](fields, name);
	};

	return {
		info: write('info'), warn: write('warn'), error: write('error'), flush: async () => sink?.flush(),
	};
}

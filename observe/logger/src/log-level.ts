/**
Levels of log lines.
*/
export type LogLevel = 'debug' | 'info' | 'warn' | 'error' | 'silent';

import type Emittery from 'emittery';
import type {AnswerLog} from '@valvesaddle/answers';
import type {ExecutorEvents} from './executor-events.ts';
import type {Job} from './job.ts';

/**
Runs accepted requests to their end, independently of their callers' connections.
*/
export type Executor = {
	readonly events: Emittery<ExecutorEvents>;
	/**
	Starts a request; its answer is read from the log.
	*/
	readonly start: (job: Job) => AnswerLog;
	readonly countOpen: () => number;
	/**
	Number of open requests of one client account.
	*/
	readonly countOpenByAccount: (account: string) => number;
};

import type Emittery from 'emittery';
import type {AnswerLog} from '@valvesaddle/answers';
import type {ExecutorEvents} from './executor-events.ts';
import type {Job} from './job.ts';

/**
Runs accepted requests to their end, whether their callers stay or not.
*/
export type Executor = {
	readonly events: Emittery<ExecutorEvents>;
	/**
	Begins a request; its answer is read from the log.
	*/
	readonly start: (job: Job) => AnswerLog;
	readonly countOpen: () => number;
	/**
	Open requests of one client account.
	*/
	readonly countOpenByAccount: (account: string) => number;
};

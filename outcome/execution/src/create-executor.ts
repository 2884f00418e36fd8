import Emittery from 'emittery';
import {createAnswerLog, type AnswerLog} from '@valvesaddle/answers';
import {toValvesaddleError} from '@valvesaddle/error';
import {createExecution} from './create-execution.ts';
import {createRetryBudgets} from './create-retry-budgets.ts';
import type {Executor} from './executor.ts';
import type {ExecutorEvents} from './executor-events.ts';
import type {ExecutorOptions} from './executor-options.ts';
import type {Job} from './job.ts';

/**
 Creates the executor of a node.

 @example
 const log = executor.start(job);
 const {parts, end} = await log.read(0);
 */
export function createExecutor(options: ExecutorOptions): Executor {
	const events = new Emittery<ExecutorEvents>();
	const budgets = createRetryBudgets();
	const openByAccount = new Map<string, number>();
	let openCount = 0;

	function updateOpen(account: string, change: 1 | -1): void {
		openCount += change;
		const count = (openByAccount.get(account) ?? 0) + change;
		if (count === 0) {
			openByAccount.delete(account);
		} else {
			openByAccount.set(account, count);
		}
	}

	async function run(job: Job, log: AnswerLog, signal: AbortSignal): Promise<void> {
		try {
			log.finish(await createExecution({
				...options, job, log, budgets, signal,
			}).run());
		} catch (error) {
			const {code, message} = toValvesaddleError(error);
			log.finish({
				kind: 'error', code, message, ran: 'maybe', retryAfterMs: undefined,
			});
			options.metrics.increment('requests.internal-failures');
		} finally {
			updateOpen(job.account, -1);
			if (openCount === 0) {
				void events.emit('idle');
			}
		}
	}

	return {
		events,
		start(job) {
			const abandoned = new AbortController();
			const log = createAnswerLog({
				requestId: job.requestId,
				account: job.account,
				graceMs: options.abandonMs,
				onAbandoned() {
					// A request that may run only once is completed, so that its caller can read the answer on a retry.
					if (job.claim === undefined) {
						abandoned.abort();
					}
				},
			});
			options.answers.add(log);
			options.metrics.increment('requests.accepted', 1, {class: job.requestClass.name});
			budgets.deposit(job.account, job.pool.name);
			updateOpen(job.account, 1);
			void run(job, log, abandoned.signal);
			return log;
		},
		countOpen: () => openCount,
		countOpenByAccount: account => openByAccount.get(account) ?? 0,
	};
}

import type {ValvesaddleError} from '@valvesaddle/error';
import {canAttemptAgain} from './can-attempt-again.ts';
import type {Job} from './job.ts';
import type {NextStep} from './next-step.ts';
import type {Progress} from './progress.ts';

type FailedAttempt = {
	readonly error: ValvesaddleError;
	readonly job: Job;
	readonly progress: Progress;
	/**
	Attempts of the request so far, this one included.
	*/
	readonly attempts: number;
	/**
	Withdraws a retry from the budgets; false when one of them is exhausted.
	*/
	readonly withdrawRetry: () => boolean;
};

/**
 Decides what follows a failed attempt. A request that certainly did not run may always be retried; one that may have run
 only if it is repeatable and, before its first token, only within the retry budgets. After the first token no budget is
 needed, since ending the answer would waste its tokens.

 @example
 decideNextStep({error, job, progress, attempts: 1, withdrawRetry: () => true}); // 'retry'
 */
export function decideNextStep({error, job, progress, attempts, withdrawRetry}: FailedAttempt): NextStep {
	if (error.code === 'ERR_VALVESADDLE_CANCELLED' || !canAttemptAgain({progress, attempts})) {
		return 'end';
	}

	if (error.traits.ran === 'no') {
		return 'retry';
	}

	const canRunAgain = job.claim === undefined && (progress.tokens > 0 || withdrawRetry());
	return canRunAgain ? 'retry' : 'end';
}

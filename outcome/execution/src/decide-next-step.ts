import type {ValvesaddleError} from '@valvesaddle/error';
import type {Job} from './job.ts';
import type {NextStep} from './next-step.ts';
import type {Progress} from './progress.ts';

/**
Endpoints tried for one request.
*/
const mostAttempts = 5;

type FailedAttempt = {
	readonly error: ValvesaddleError;
	readonly job: Job;
	readonly progress: Progress;
	/**
	Attempts of the request so far, this one included.
	*/
	readonly attempts: number;
	/**
	Takes a retry out of the budgets; false when they hold none.
	*/
	readonly canSpend: () => boolean;
};

/**
 Decides what follows on a failed attempt. What surely did not run may always go elsewhere; what may have run only if it
 is repeatable, and before its first token only within the retry budgets. An answer under way is never given up for want
 of budget: its tokens would be wasted.

 @example
 decideNextStep({error, job, progress, attempts: 1, canSpend: () => true}); // 'retry'
 */
export function decideNextStep({error, job, progress, attempts, canSpend}: FailedAttempt): NextStep {
	const canContinue = progress.tokens === 0 || progress.isPlainText;
	if (!canContinue || error.code === 'ERR_VALVESADDLE_CANCELLED' || attempts >= mostAttempts) {
		return 'end';
	}

	if (error.traits.ran === 'no') {
		return 'retry';
	}

	const isMayRunAgain = job.claim === undefined && (progress.tokens > 0 || canSpend());
	return isMayRunAgain ? 'retry' : 'end';
}

import type {Progress} from './progress.ts';

const maximumAttempts = 5;

type AttemptedRequest = {
	readonly progress: Progress;
	/**
	Attempts so far, with the current one.
	*/
	readonly attempts: number;
};

/**
 Whether a request may have one more attempt: an answer that is not plain text cannot be continued, and the number of
 attempts is limited.

 @example
 canAttemptAgain({progress, attempts: 5}); // false
 */
export function canAttemptAgain({progress, attempts}: AttemptedRequest): boolean {
	return attempts < maximumAttempts && (progress.tokens === 0 || progress.isPlainText);
}

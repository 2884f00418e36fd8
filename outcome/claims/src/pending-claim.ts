import type {Result} from 'neverthrow';
import type {ValvesaddleError} from '@valvesaddle/error';
import type {ClaimAnswer} from './claim-answer.ts';
import type {ClaimQuestion} from './claim-question.ts';

/**
A claim or release that waits for the next write.
*/
export type PendingClaim = {
	readonly kind: 'claim' | 'release';
	readonly question: ClaimQuestion;
	readonly settle: (answer: Result<ClaimAnswer, ValvesaddleError>) => void;
};

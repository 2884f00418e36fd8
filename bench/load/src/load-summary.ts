import type {ClassSummary} from './class-summary.ts';

/**
How a load fared.
*/
export type LoadSummary = {
	readonly classes: readonly ClassSummary[];
	/**
	Tokens of complete answers in time, per second of arrivals.
	*/
	readonly goodTokensPerSecond: number;
	readonly goodAnswersPerSecond: number;
	/**
	Tokens generated that belong to no complete answer, over all generated.
	*/
	readonly wastedPart: number;
	/**
	Jain's index over the accounts' served tokens, each over its max-min fair share; 1 is even.
	*/
	readonly jainIndex: number;
	readonly wrongAnswers: number;
	readonly reconnects: number;
};

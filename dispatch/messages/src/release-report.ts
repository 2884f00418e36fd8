import type {ReleaseOutcome} from './release-outcome.ts';

/**
Gives a grant back and says what came of it.
*/
export type ReleaseReport = {
	readonly grantId: string;
	/**
	Duty of the dispatcher; see `DutyIndex`.
	*/
	readonly duty: string;
	readonly outcome: ReleaseOutcome;
	readonly tokens: number;
	/**
	`undefined` when no token came.
	*/
	readonly firstTokenMs: number | undefined;
	readonly interTokenMs: number | undefined;
	/**
	Time for which the endpoint asked for no more requests when it refused this one.
	*/
	readonly retryAfterMs?: number | undefined;
};

import type {ReleaseOutcome} from './release-outcome.ts';

/**
Releases a grant and reports its outcome.
*/
export type ReleaseReport = {
	readonly grantId: string;
	/**
	Dispatcher shard; see `DutyIndex`.
	*/
	readonly duty: string;
	readonly outcome: ReleaseOutcome;
	readonly tokens: number;
	/**
	`undefined` when no token was received.
	*/
	readonly firstTokenMs: number | undefined;
	readonly interTokenMs: number | undefined;
	/**
	Cooldown that the endpoint requested when it refused the request, in milliseconds.
	*/
	readonly retryAfterMs?: number | undefined;
};

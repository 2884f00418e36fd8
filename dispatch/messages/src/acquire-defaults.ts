import type {AcquireRequest} from './acquire-request.ts';

/**
Values that an acquire request has unless it says otherwise; they are not sent.
*/
export const acquireDefaults = {
	waitedMs: 0,
	admitted: false,
	promptTokens: 0,
	tokensSoFar: 0,
	repeatable: true,
	avoid: [],
	skipped: [],
	forced: false,
	trace: {},
} as const satisfies Partial<AcquireRequest>;

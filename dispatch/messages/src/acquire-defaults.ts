import type {AcquireRequest} from './acquire-request.ts';

/**
Default values of an acquire request, which are omitted on the wire.
*/
export const acquireDefaults = {
	waitedMs: 0,
	ranMs: 0,
	admitted: false,
	promptTokens: 0,
	tokensSoFar: 0,
	repeatable: true,
	avoid: [],
	skipped: [],
	forced: false,
	trace: {},
} as const satisfies Partial<AcquireRequest>;

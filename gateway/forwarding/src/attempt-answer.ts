import type {IncomingHttpHeaders} from 'node:http';
import type {Verdict} from './verdict.ts';

/**
An endpoint's answer as far as it has come.
*/
export type AttemptAnswer = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly verdict: Verdict;
	readonly pieces: Uint8Array[];
	bytes: number;
};

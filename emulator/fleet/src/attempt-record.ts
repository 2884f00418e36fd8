import type {LeftRequest} from '@valvesaddle/emulator-engine';
import type {Logger} from '@valvesaddle/logger';
import type {AttemptCounts} from './attempt-counts.ts';

/**
Records the attempts that nodes end, and what they would have become.
*/
export type AttemptRecord = {
	/**
	Records that a node aborted an exchange of a request: its newest one, or one that it has replaced. Returns what follows it at the
	engine.
	*/
	readonly recordAbort: (requestId: string, isNewest: boolean) => LeftRequest;
	/**
	Logger of the nodes, whose lines tell which aborted attempts had failed.
	*/
	readonly logger: Logger;
	readonly count: () => AttemptCounts;
};

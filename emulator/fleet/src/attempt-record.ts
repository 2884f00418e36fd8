import type {LeftRequest} from '@valvesaddle/emulator-engine';
import type {Logger} from '@valvesaddle/logger';
import type {AttemptCounts} from './attempt-counts.ts';

/**
Records the attempts that nodes end, and what they would have become.
*/
export type AttemptRecord = {
	/**
	Records that a node aborted the exchange of a request. Returns what follows it at the engine.
	*/
	readonly recordAbort: (requestId: string) => LeftRequest;
	/**
	Logger of the nodes, whose lines tell which aborted attempts had failed.
	*/
	readonly logger: Logger;
	readonly count: () => AttemptCounts;
};

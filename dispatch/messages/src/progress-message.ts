import type {ProgressReport} from './progress-report.ts';

/**
Progress of the open grants of one node at one dispatcher.
*/
export type ProgressMessage = {
	/**
	Dispatcher shard; see `DutyIndex`.
	*/
	readonly duty: string;
	readonly node: string;
	readonly reports: readonly ProgressReport[];
};

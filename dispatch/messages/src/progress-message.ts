import type {ProgressReport} from './progress-report.ts';

/**
Reports of one node on one pool.
*/
export type ProgressMessage = {
	/**
	Duty of the dispatcher; see `DutyIndex`.
	*/
	readonly duty: string;
	readonly node: string;
	readonly reports: readonly ProgressReport[];
};

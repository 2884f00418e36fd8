import type {ProgressReport} from './progress-report.ts';

/**
Reports of one node on one pool.
*/
export type ProgressMessage = {
	readonly pool: string;
	readonly node: string;
	readonly reports: readonly ProgressReport[];
};

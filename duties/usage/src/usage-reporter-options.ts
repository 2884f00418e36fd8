import type {DutyPlatform, DutyProof, DutyStore} from '@valvesaddle/duty-types';
import type {Logger} from '@valvesaddle/logger';
import type {Metrics} from '@valvesaddle/metrics';
import type {UsageCounters} from './usage-counters.ts';

/**
Options of `createUsageReporter`. All times are in milliseconds.
*/
export type UsageReporterOptions = {
	readonly counters: Pick<UsageCounters, 'sum'>;
	readonly store: Pick<DutyStore, 'read' | 'write'>;
	readonly platform: Pick<DutyPlatform, 'reportUsage'>;
	/**
	Proof of holding the duty; `undefined` when this node does not hold it.
	*/
	readonly getProof: () => DutyProof | undefined;
	/**
	Checks whether the store still names this node as the holder.
	*/
	readonly confirm: () => Promise<boolean>;
	readonly windowMs: number;
	/**
	Time after the end of a window for the counts of other nodes to arrive.
	*/
	readonly settleMs: number;
	readonly logger: Logger;
	readonly metrics: Metrics;
};

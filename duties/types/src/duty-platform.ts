import type {DutyAnswer} from './duty-answer.ts';
import type {DutyProof} from './duty-proof.ts';
import type {ReplicaOrder} from './replica-order.ts';
import type {UsageReport} from './usage-report.ts';

/**
Port of the platform calls that only the node holding a duty makes.
*/
export type DutyPlatform = {
	readonly reportUsage: (report: UsageReport, proof: DutyProof) => Promise<DutyAnswer>;
	readonly orderReplicas: (order: ReplicaOrder, proof: DutyProof) => Promise<DutyAnswer>;
	readonly close: () => Promise<void>;
};

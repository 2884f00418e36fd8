import type {Logger} from '@valvesaddle/logger';
import type {Metrics} from '@valvesaddle/metrics';

/**
Options of `createClusterView`.
*/
export type ClusterViewOptions = {
	readonly logger: Logger;
	readonly metrics: Metrics;
};

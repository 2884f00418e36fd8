import type {ClusterView} from '@valvesaddle/cluster-view';
import type {Logger} from '@valvesaddle/logger';
import type {Metrics} from '@valvesaddle/metrics';
import type {Selector} from '@valvesaddle/selection';
import type {GatewaySettings} from '@valvesaddle/settings';
import type {PeerSync} from './peer-sync.ts';

/**
Options of `createDutyTask`.
*/
export type DutyTaskOptions = {
	/**
	Name of the node for the platform, and id of its process, which changes at each start.
	*/
	readonly name: string;
	readonly process: string;
	readonly settings: NonNullable<GatewaySettings['duties']>;
	/**
	Address of the store, and the timeout of a call in milliseconds.
	*/
	readonly store: {readonly address: string; readonly timeoutMs: number};
	readonly view: ClusterView;
	readonly selector: Pick<Selector, 'measurePoolLoad'>;
	readonly sync: Pick<PeerSync, 'isDutyCandidate' | 'usage'>;
	/**
	Converts a time on the monotonic clock to Unix milliseconds.
	*/
	readonly toUnixTime: (at: number) => number;
	readonly logger: Logger;
	readonly metrics: Metrics;
};

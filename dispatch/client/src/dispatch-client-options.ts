import type {DispatchHost} from '@valvesaddle/host';
import type {Logger} from '@valvesaddle/logger';
import type {Membership} from '@valvesaddle/membership';
import type {Metrics} from '@valvesaddle/metrics';
import type {PeerNetwork} from '@valvesaddle/network';

/**
Options of `createDispatchClient`.
*/
export type DispatchClientOptions = {
	readonly node: string;
	readonly dataCentre: string;
	readonly host: DispatchHost;
	readonly network: PeerNetwork;
	readonly membership: Membership;
	/**
	Interval between progress messages, in milliseconds.
	*/
	readonly progressMs: number;
	readonly metrics: Metrics;
	readonly logger: Logger;
};

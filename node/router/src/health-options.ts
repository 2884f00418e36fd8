import type {ConfigFollower} from '@valvesaddle/config-follower';
import type {ConfigStore} from '@valvesaddle/config-store';
import type {Logger} from '@valvesaddle/logger';
import type {Membership} from '@valvesaddle/membership';
import type {PeerNetwork} from '@valvesaddle/network';

/**
Options of `createHealth`.
*/
export type HealthOptions = {
	readonly node: string;
	readonly follower: ConfigFollower;
	readonly store: ConfigStore;
	readonly membership: Membership;
	readonly network: PeerNetwork;
	readonly gossipMs: number;
	readonly logger: Logger;
};

import type {CallerLimits} from './caller-limits.ts';
import type {GatewayAccount} from './gateway-account.ts';
import type {Route} from './route.ts';
import type {ServicePool} from './service-pool.ts';

/**
The operators' configuration, decoded. A higher version is newer.
*/
export type GatewayConfiguration = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly pools: readonly ServicePool[];
	readonly limits: CallerLimits;
	/**
	Empty when no keys are asked for.
	*/
	readonly accounts: readonly GatewayAccount[];
};

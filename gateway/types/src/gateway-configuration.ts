import type {CallerLimits} from './caller-limits.ts';
import type {GatewayAccount} from './gateway-account.ts';
import type {Route} from './route.ts';
import type {ServicePool} from './service-pool.ts';

/**
The decoded operator configuration. A higher version is newer.
*/
export type GatewayConfiguration = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly pools: readonly ServicePool[];
	readonly limits: CallerLimits;
	/**
	Empty when no API keys are required.
	*/
	readonly accounts: readonly GatewayAccount[];
};

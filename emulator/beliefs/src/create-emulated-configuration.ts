import type {GatewayConfiguration} from '@valvesaddle/gateway-types';

/**
Number of routes, for a realistic size of the configuration.
*/
const routeCount = 40;

/**
 Creates a configuration of a given version.

 @example
 createEmulatedConfiguration(3).version; // 3
 */
export function createEmulatedConfiguration(version: number): GatewayConfiguration {
	return {
		version,
		routes: Array.from({length: routeCount}, (_value, index) => ({
			name: `r-${index}`,
			host: 'permits.example',
			prefix: `/v${version}/${index}/`,
			kind: 'safe',
			timeoutMs: 5000,
			latencyObjectiveMs: 500,
			priority: 1,
			targets: [{pool: 'desk', weight: 1}],
			maximumAttempts: 2,
			isPublic: true,
			isResumable: false,
			pauseObjectiveMs: 0,
		})),
		pools: [{name: 'desk', engine: undefined}],
		limits: {
			headerBytes: 16_384, bodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
		accounts: [],
	};
}

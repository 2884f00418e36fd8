import type {GatewaySettings} from '@valvesaddle/settings';

/**
Link bandwidth that matches one reference core, in Mbit/s: a relay that uses a full core sends each of 40 members 17 messages of
12 kB a second.
*/
const mbpsPerCore = 65;

/**
 Measures a node's capacity for fleet traffic in reference cores: the scarcer of CPU and link bandwidth.

 @example
 measureCapacity({name: 'a1', data_centre: 'a', region: 'r', cpu_share: 0.5, core_speed: 2, link_mbps: 6.5}); // 0.1
 */
export function measureCapacity({cpu_share: share, core_speed: speed, link_mbps: mbps}: GatewaySettings['node']): number {
	return Math.min(share * speed, mbps / mbpsPerCore);
}

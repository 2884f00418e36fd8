import type {GatewaySettings} from '@valvesaddle/settings';

/**
Link, in megabits a second, with which a VM carries as much for the fleet as one usual core does: what a relay with 40 members
sends at a full core, 17 messages of 12 kB a second to each, takes 65 of them.
*/
const mbpsOfCore = 65;

/**
 Measures what a node can carry for the fleet, as a share of a usual core: the scarcer of processor and link counts.

 @example
 measureCapacity({name: 'a1', data_centre: 'a', region: 'r', cpu_share: 0.5, core_speed: 2, link_mbps: 6.5}); // 0.1
 */
export function measureCapacity({cpu_share: share, core_speed: speed, link_mbps: mbps}: GatewaySettings['node']): number {
	return Math.min(share * speed, mbps / mbpsOfCore);
}

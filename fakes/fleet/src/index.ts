export {createDemoConfiguration} from './create-demo-configuration.ts';
export type {Fleet} from './fleet.ts';
export {fleetKeys} from './fleet-keys.ts';
export type {FleetNode} from './fleet-node.ts';
export type {FleetOptions} from './fleet-options.ts';
export {startFleet} from './start-fleet.ts';
export {waitUntil} from './wait-until.ts';

export {checkPromises} from './check-promises.ts';
export type {Breach} from './breach.ts';
export type {Observation} from './observation.ts';
export {planFaults} from './plan-faults.ts';
export {runSoak} from './run-soak.ts';
export type {SoakNode} from './soak-node.ts';
export type {SoakResult} from './soak-result.ts';
export {startNode} from './start-node.ts';

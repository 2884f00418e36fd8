export {drawFaults} from './draw-faults.ts';
export {runDuties} from './run-duties.ts';
export type {DutyFault} from './duty-fault.ts';
export type {DutyReport} from './duty-report.ts';

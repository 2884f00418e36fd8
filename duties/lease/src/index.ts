export {createDutyLease} from './create-duty-lease.ts';
export type {DutyLease} from './duty-lease.ts';
export type {DutyLeaseOptions} from './duty-lease-options.ts';

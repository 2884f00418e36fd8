export {createMembership} from './create-membership.ts';
export type {Membership} from './membership.ts';
export type {MembershipEvents} from './membership-events.ts';
export type {MembershipOptions} from './membership-options.ts';

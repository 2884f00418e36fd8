export {createTurns} from './create-turns.ts';
export {createWaitingRoom} from './create-waiting-room.ts';
export type {SendOutcome} from './send-outcome.ts';
export type {Turns} from './turns.ts';
export type {Waiter} from './waiter.ts';
export type {WaitingRoom} from './waiting-room.ts';
export type {WaitingRoomOptions} from './waiting-room-options.ts';
export type {WithdrawalReason} from './withdrawal-reason.ts';

import type {ExecutionStatus} from '@valvesaddle/error';
import type {OutcomeState} from './outcome-state.ts';

/**
State of a request and what it has been through.
*/
export type Outcome = {
	readonly state: OutcomeState;
	/**
	What may have happened at endpoints so far; never goes back.
	*/
	readonly ran: ExecutionStatus;
};

import type {ExecutionStatus} from '@valvesaddle/error';
import type {OutcomeState} from './outcome-state.ts';

/**
State of a request and whether it may have run.
*/
export type Outcome = {
	readonly state: OutcomeState;
	/**
	Whether an endpoint may have run the request so far; never reverts to a weaker value.
	*/
	readonly ran: ExecutionStatus;
};

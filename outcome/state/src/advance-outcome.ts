import {ValvesaddleError, type ExecutionStatus} from '@valvesaddle/error';
import type {Outcome} from './outcome.ts';
import type {OutcomeEvent} from './outcome-event.ts';
import {outcomeTransitions} from './outcome-transitions.ts';

/**
 Applies an event to the outcome of a request.

 `ran` never reverts to a weaker value: after one endpoint failed it stays `maybe`, even if the next endpoint reports that
 it did not run the request.

 @throws `ERR_VALVESADDLE_INTERNAL` for an event that the state does not allow.
 @example
 advanceOutcome({state: 'sent', ran: 'no'}, 'not-run'); // {state: 'queued', ran: 'no'}
 */
export function advanceOutcome(outcome: Outcome, event: OutcomeEvent): Outcome {
	const state = outcomeTransitions[outcome.state][event];
	if (state === undefined) {
		throw new ValvesaddleError('ERR_VALVESADDLE_INTERNAL', `a request that is ${outcome.state} cannot take the step ${event}`);
	}

	return state === 'refused' && outcome.ran !== 'no' ? {state: 'failed', ran: outcome.ran} : {state, ran: ranAfter[event](outcome)};
}

const keepRan = ({ran}: Outcome): ExecutionStatus => ran;

const ranAfter: Readonly<Record<OutcomeEvent, (outcome: Outcome) => ExecutionStatus>> = {
	queue: keepRan,
	grant: keepRan,
	send: keepRan,
	'first-answer': () => 'yes',
	'not-run': keepRan,
	reject: keepRan,
	retry: ({ran}) => ran === 'yes' ? 'yes' : 'maybe',
	finish: () => 'yes',
	'give-up': ({state, ran}) => state === 'sent' && ran === 'no' ? 'maybe' : ran,
};

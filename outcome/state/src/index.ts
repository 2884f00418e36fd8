export {advanceOutcome} from './advance-outcome.ts';
export {initialOutcome} from './initial-outcome.ts';
export {isFinal} from './is-final.ts';
export type {Outcome} from './outcome.ts';
export type {OutcomeEvent} from './outcome-event.ts';
export type {OutcomeState} from './outcome-state.ts';

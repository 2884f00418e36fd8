import type {OutcomeState} from './outcome-state.ts';
import {outcomeTransitions} from './outcome-transitions.ts';

/**
 Tells whether a state is an end.

 @example
 isFinal('complete'); // true
 */
export function isFinal(state: OutcomeState): boolean {
	return Object.keys(outcomeTransitions[state]).length === 0;
}

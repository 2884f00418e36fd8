import type {OutcomeState} from './outcome-state.ts';
import {outcomeTransitions} from './outcome-transitions.ts';

/**
 Returns whether a state has no further transitions.

 @example
 isFinal('complete'); // true
 */
export function isFinal(state: OutcomeState): boolean {
	return Object.keys(outcomeTransitions[state]).length === 0;
}

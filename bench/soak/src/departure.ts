import type {Attempt} from './attempt.ts';

/**
A request whose caller closed its connection before the answer had ended.
*/
export type Departure = Pick<Attempt, 'id' | 'node' | 'sentAt'> & {
	/**
	When it closed, in milliseconds since the start of the run.
	*/
	readonly at: number;
};

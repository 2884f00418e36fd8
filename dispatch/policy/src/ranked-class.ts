import type {GrantMode} from './grant-mode.ts';

/**
A class to try next, and under which rule.
*/
export type RankedClass = {
	readonly className: string;
	readonly mode: GrantMode;
};

import type {GrantMode} from './grant-mode.ts';

/**
A class to grant to next, and the rule for the grant.
*/
export type RankedClass = {
	readonly className: string;
	readonly mode: GrantMode;
};

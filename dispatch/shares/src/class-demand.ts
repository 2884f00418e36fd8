import type {ShareDemand} from './share-demand.ts';

/**
What a request class asks for, and what it is guaranteed.
*/
export type ClassDemand = ShareDemand & {
	/**
	Lower tiers are served first; classes of one tier share by weight.
	*/
	readonly tier: number;
	/**
	Whether the class comes before the floors of others.
	*/
	readonly isUrgent: boolean;
	/**
	Guaranteed share, from 0 to 1, of what urgent classes leave.
	*/
	readonly floor: number;
};

import type {Admission} from '@valvesaddle/admission';
import type {AccountShare} from './account-share.ts';

/**
What the decision on one request depends on, in a pool that is contended. Times are in milliseconds.
*/
export type ShareInput = {
	/**
	The decision without shares.
	*/
	readonly admission: Admission;
	/**
	Priority of the request's route; 0 is the most urgent.
	*/
	readonly priority: number;
	readonly share: AccountShare;
	/**
	Whether the caller has come back after a refusal.
	*/
	readonly isReturned: boolean;
	/**
	Predicted wait for others at the best endpoint.
	*/
	readonly waitMs: number;
	readonly objectiveMs: number;
	/**
	Length of the window of the share.
	*/
	readonly windowMs: number;
	/**
	Random numbers from 0 up to 1: whether the request is within the share, and the spread of its retry.
	*/
	readonly draw: number;
	readonly spreadDraw: number;
};

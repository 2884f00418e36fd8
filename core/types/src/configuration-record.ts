import type {Configuration} from './configuration.ts';

/**
A configuration as accepted and stored.
*/
export type ConfigurationRecord = {
	/**
	Grows by one with every accepted change; 0 means none yet.
	*/
	readonly revision: number;
	/**
	Unique id that the operator gave the change.
	*/
	readonly changeId: string;
	readonly author: string;
	/**
	Milliseconds since the epoch.
	*/
	readonly acceptedAt: number;
	/**
	Changes accepted lately, newest first, to answer an apply that is sent again.
	*/
	readonly recentChanges: ReadonlyArray<{readonly changeId: string; readonly revision: number}>;
	readonly configuration: Configuration;
};

import type {Configuration} from './configuration.ts';

/**
A configuration as accepted and stored.
*/
export type ConfigurationRecord = {
	/**
	Increases by one with every accepted change; 0 when there is none.
	*/
	readonly revision: number;
	/**
	Unique id of the change, set by the operator.
	*/
	readonly changeId: string;
	readonly author: string;
	/**
	Milliseconds since the epoch.
	*/
	readonly acceptedAt: number;
	/**
	Recently accepted changes, newest first; makes a repeated apply idempotent.
	*/
	readonly recentChanges: ReadonlyArray<{readonly changeId: string; readonly revision: number}>;
	readonly configuration: Configuration;
};

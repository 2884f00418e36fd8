import type {AppliedFault} from './applied-fault.ts';
import type {Arrival} from './arrival.ts';
import type {Attempt} from './attempt.ts';
import type {Crash} from './crash.ts';
import type {Departure} from './departure.ts';
import type {LimitNotice} from './limit-notice.ts';
import type {Notice} from './notice.ts';
import type {RetrySettings} from './retry-settings.ts';
import type {Run} from './run.ts';

/**
All that callers and endpoints saw in a run.
*/
export type Observation = {
	readonly attempts: readonly Attempt[];
	readonly runs: readonly Run[];
	/**
	Ids of the requests that a node has read whole or refused, as its log says.
	*/
	readonly read: ReadonlySet<string>;
	readonly arrivals: readonly Arrival[];
	readonly notices: readonly Notice[];
	readonly crashes: readonly Crash[];
	readonly limits: readonly LimitNotice[];
	/**
	Requests whose callers left; they are not among the attempts.
	*/
	readonly departures: readonly Departure[];
	/**
	What the nodes may spend on retries.
	*/
	readonly retry: RetrySettings;
	readonly faults: readonly AppliedFault[];
	/**
	When each version of the configuration was accepted by the store; version `n` has the route `/v<n>/` and no older one of
	this form.
	*/
	readonly versions: ReadonlyArray<{readonly version: number; readonly at: number}>;
	/**
	When each endpoint told the store that it is leaving.
	*/
	readonly drains: ReadonlyArray<{readonly endpoint: string; readonly at: number}>;
	/**
	From here on there was no fault.
	*/
	readonly calmFrom: number;
};

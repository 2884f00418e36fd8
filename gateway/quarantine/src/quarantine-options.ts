import type {CrashRow} from './crash-row.ts';

/**
Options of `createQuarantine`.
*/
export type QuarantineOptions = {
	/**
	Called with the rows that are new or have changed.
	*/
	readonly onChanged?: (rows: readonly CrashRow[]) => void;
	/**
	Called when a request is quarantined, with the incarnations that crashed.
	*/
	readonly onQuarantined?: (digest: string, endpoints: readonly string[]) => void;
	/**
	Whether this node may try a quarantined request again; one node at a time for each request.
	*/
	readonly isTrialNode?: (digest: string) => boolean;
	/**
	Requests that are remembered.
	*/
	readonly maximumRequests?: number;
};

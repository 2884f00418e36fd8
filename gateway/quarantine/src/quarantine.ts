import type {CrashRow} from './crash-row.ts';

/**
Requests under which endpoints crashed, as this node and its peers saw it.
*/
export type Quarantine = {
	/**
	Whether no crash is known.
	*/
	readonly isEmpty: () => boolean;
	/**
	Whether a request must reach no further endpoint, given the incarnations whose connections broke while they ran it and whose
	end is not confirmed yet.
	*/
	readonly isQuarantined: (digest: string, broken?: ReadonlySet<string>) => boolean;
	/**
	Takes the right to send a quarantined request to one endpoint after all, to find out whether the crashes had another cause.
	*/
	readonly takeTrial: (digest: string) => boolean;
	/**
	Whether an endpoint crashed while it ran the request, and the request has not been answered since.
	*/
	readonly isSuspect: (digest: string) => boolean;
	/**
	Records the crash of an endpoint that ran these requests.
	*/
	readonly recordCrash: (endpoint: string, digests: Iterable<string>) => void;
	/**
	Records a whole answer to a request: the crashes before it, and for some seconds after it, had another cause.
	*/
	readonly recordAnswered: (digest: string) => void;
	/**
	Merges rows of another node.
	*/
	readonly merge: (rows: readonly CrashRow[]) => void;
	readonly list: () => readonly CrashRow[];
	/**
	Number of remembered requests.
	*/
	readonly countRequests: () => number;
};

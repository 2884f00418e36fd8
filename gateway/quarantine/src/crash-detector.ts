import type {CrashEvidence} from './crash-evidence.ts';

/**
Tells crashes of endpoints from broken connections.
*/
export type CrashDetector = {
	/**
	Records that the connection to an endpoint broke while the endpoint ran a request.
	*/
	readonly recordBroken: (endpoint: string, digest: string) => void;
	/**
	Records evidence that an endpoint's process has ended.
	*/
	readonly recordEnded: (endpoint: string, evidence: CrashEvidence) => void;
};

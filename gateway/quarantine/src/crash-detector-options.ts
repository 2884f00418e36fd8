import type {CrashEvidence} from './crash-evidence.ts';

/**
Options of `createCrashDetector`.
*/
export type CrashDetectorOptions = {
	/**
	Whether an endpoint is expected to serve: its entry is there, and it has not announced that it drains.
	*/
	readonly isServing: (endpoint: string) => boolean;
	/**
	Called when requests are known to have run on an endpoint whose process ended.
	*/
	readonly onCrash: (endpoint: string, digests: readonly string[], evidence: CrashEvidence) => void;
};

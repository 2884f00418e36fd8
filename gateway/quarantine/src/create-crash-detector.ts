import type {CrashDetector} from './crash-detector.ts';
import type {CrashDetectorOptions} from './crash-detector-options.ts';
import type {CrashEvidence} from './crash-evidence.ts';

/**
Time between a broken connection and the evidence that the process has ended. The entry of a crashed endpoint expires after several
missed heartbeats.
*/
const evidenceWindowMs = 15_000;

type Broken = {
	readonly at: number;
	readonly digests: ReadonlySet<string>;
};

type Ended = {
	readonly at: number;
	readonly evidence: CrashEvidence;
};

/**
 Creates the detector of crashes. A broken connection alone is no evidence: connections are reset, and endpoints break off single
 answers. One that breaks at an endpoint that drains, or whose entry was removed before, is no crash either.

 @example
 const detector = createCrashDetector({isServing: () => true, onCrash: quarantine.recordCrash});
 detector.recordBroken('i-7f', digest);
 detector.recordEnded('i-7f', 'refused'); // calls `onCrash`
 */
export function createCrashDetector({isServing, onCrash}: CrashDetectorOptions): CrashDetector {
	const broken = new Map<string, Broken>();
	const ended = new Map<string, Ended>();

	function removeExpired(table: Map<string, {readonly at: number}>): void {
		const now = performance.now();
		for (const [endpoint, {at}] of table) {
			if (now - at > evidenceWindowMs) {
				table.delete(endpoint);
			}
		}
	}

	return {
		recordBroken(endpoint, digest) {
			removeExpired(broken);
			removeExpired(ended);
			const end = ended.get(endpoint);
			if (end !== undefined) {
				onCrash(endpoint, [digest], end.evidence);
			} else if (isServing(endpoint)) {
				broken.set(endpoint, {at: performance.now(), digests: new Set([...broken.get(endpoint)?.digests ?? [], digest])});
			}
		},
		recordEnded(endpoint, evidence) {
			removeExpired(broken);
			removeExpired(ended);
			if (!isServing(endpoint) || ended.has(endpoint)) {
				return;
			}

			const before = broken.get(endpoint);
			broken.delete(endpoint);
			// An endpoint may remove its entry first and go on serving; answers that break off later show no crash.
			if (evidence !== 'removed') {
				ended.set(endpoint, {at: performance.now(), evidence});
			}

			if (before !== undefined) {
				onCrash(endpoint, [...before.digests], evidence);
			}
		},
	};
}

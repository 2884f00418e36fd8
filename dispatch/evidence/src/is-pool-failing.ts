import type {EndpointEvidence} from './endpoint-evidence.ts';

/**
Failures and their share from which second tries become scarce: a budget of one in ten is spent on less.
*/
const minimumFailures = 4;
const minimumShare = 0.2;

/**
 Whether a pool fails as a whole, by the evidence of its endpoints that are not ejected. Ejecting does not help then, and there are too
 few second tries for all.

 @example
 isPoolFailing([{...noEvidence, answers: 20, failures: 9}, {...noEvidence, answers: 20, failures: 8}]); // true
 */
export function isPoolFailing(evidence: readonly EndpointEvidence[]): boolean {
	let answers = 0;
	let failures = 0;
	let failing = 0;
	for (const endpoint of evidence) {
		answers += endpoint.answers;
		failures += Math.min(endpoint.failures, endpoint.answers);
		failing += endpoint.failures >= 1 ? 1 : 0;
	}

	return failures >= minimumFailures && failures >= minimumShare * answers && failing > evidence.length / 2;
}

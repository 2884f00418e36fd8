import type {KnownEvidence} from './known-evidence.ts';
import {countEjectable} from './count-ejectable.ts';

/**
Failures that count against an endpoint: two of one request that is sent again are too few.
*/
const minimumFailures = 3;
/**
An endpoint that serves more requests than it fails is worth keeping: failed ones may be sent again.
*/
const minimumShare = 0.5;
/**
Deviations by which its failures exceed what the rest of the pool would fail of as many requests. By chance alone this happens about
once in four thousand windows.
*/
const minimumDeviations = 3.5;
/**
If more fail, it is the pool that fails.
*/
const maximumEjectedShare = 0.5;

type Sum = {
	readonly answers: number;
	readonly failures: number;
};

type FailingOptions = {
	/**
	All endpoints in use of a pool; ejected ones without recent evidence too.
	*/
	readonly pool: readonly KnownEvidence[];
	/**
	Endpoints that are ejected already.
	*/
	readonly ejected: ReadonlySet<string>;
};

/**
 Finds the endpoints to eject, worst first: those that fail most requests while the rest of the pool serves. The ejected share of the
 pool is limited.

 @example
 findFailing({pool: [{endpoint: 'i-1', evidence}, {endpoint: 'i-2', evidence: noEvidence}], ejected: new Set()}); // ['i-1']
 */
export function findFailing({pool, ejected}: FailingOptions): readonly string[] {
	let allowed = countEjectable({endpoints: pool.length, ejected: ejected.size, maximumShare: maximumEjectedShare});
	let rest = pool.filter(({endpoint}) => !ejected.has(endpoint));
	const failing: string[] = [];
	for (const candidate of rest.filter(({evidence}) => isSuspect(evidence)).toSorted((a, b) => measureShare(b.evidence) - measureShare(a.evidence))) {
		const others = rest.filter(other => other !== candidate);
		if (allowed === 0 || !isOutlier(candidate.evidence, countAnswers(others))) {
			continue;
		}

		failing.push(candidate.endpoint);
		rest = others;
		allowed--;
	}

	return failing;
}

function isSuspect(evidence: Sum): boolean {
	return evidence.failures >= minimumFailures && measureShare(evidence) >= minimumShare;
}

function measureShare({answers, failures}: Sum): number {
	return answers === 0 ? 0 : Math.min(1, failures / answers);
}

function countAnswers(evidence: readonly KnownEvidence[]): Sum {
	let answers = 0;
	let failures = 0;
	for (const {evidence: part} of evidence) {
		answers += part.answers;
		failures += Math.min(part.failures, part.answers);
	}

	return {answers, failures};
}

function isOutlier({answers, failures}: Sum, others: Sum): boolean {
	const share = (others.failures + 1) / (others.answers + 2);
	return failures - (answers * share) >= minimumDeviations * Math.sqrt(answers * share * (1 - share));
}

import type {Ejection} from './ejection.ts';
import type {EndpointEvidence} from './endpoint-evidence.ts';
import {predictEjectionMs} from './predict-ejection-ms.ts';

/**
As long as a node leaves an endpoint alone by itself: callers wait for a second or more at most.
*/
const firstMs = 1000;
const maximumMs = 4000;
/**
Recent answers up to which earlier requests are forgotten.
*/
const forgottenAnswers = 0.5;
/**
Recent answers to probes that return an endpoint to service: one may be luck, and the first has aged when the second comes.
*/
const answersToReturn = 1.2;

type EjectionInput = {
	readonly evidence: EndpointEvidence;
	/**
	Whether the evidence singles the endpoint out in its pool.
	*/
	readonly isFailing: boolean;
	readonly now: number;
};

/**
 Advances the ejection of an endpoint; `undefined` while it is in service. It is probed when its time is over and earlier requests are
 forgotten. A failed probe ejects it again for twice as long, answers to probes return it.

 @example
 advanceEjection(undefined, {evidence, isFailing: true, now: 5000}); // {state: 'out', until: 6000, count: 1}
 */
export function advanceEjection(ejection: Ejection | undefined, {evidence, isFailing, now}: EjectionInput): Ejection | undefined {
	if (ejection === undefined) {
		return isFailing ? createEjection(0, now) : undefined;
	}

	if (ejection.state === 'out') {
		return now >= ejection.until && evidence.answers < forgottenAnswers ? {...ejection, state: 'probing'} : ejection;
	}

	if (evidence.failures >= 1) {
		return createEjection(ejection.count, now);
	}

	return evidence.answers - evidence.failures >= answersToReturn ? undefined : ejection;
}

function createEjection(ejections: number, now: number): Ejection {
	return {state: 'out', until: now + predictEjectionMs({ejections, firstMs, maximumMs}), count: ejections + 1};
}

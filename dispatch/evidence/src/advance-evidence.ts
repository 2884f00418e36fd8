import type {EndpointEvidence} from './endpoint-evidence.ts';
import {noEvidence} from './no-evidence.ts';

/**
Share of a count that is kept from one step to the next. Failures are counted over about a second, so that a node with two requests a
second adds to them; the pace over less than half a second, since endpoints slow down for as short.
*/
const keptCount = 0.6;
const keptPace = 0.3;
/**
Smaller counts become 0, after which the evidence need not be told again.
*/
const minimumCount = 0.25;

/**
 Lets evidence age by one step of `evidenceStepMs`; `undefined` once none is left.

 @example
 advanceEvidence({...noEvidence, answers: 10, failures: 5}); // {answers: 6, failures: 3, ...}
 */
export function advanceEvidence(evidence: EndpointEvidence): EndpointEvidence | undefined {
	const timedAnswers = fitCount(keptPace * evidence.timedAnswers);
	const aged = {
		...noEvidence,
		answers: fitCount(keptCount * evidence.answers),
		failures: fitCount(keptCount * evidence.failures),
		timedAnswers,
		serviceMs: timedAnswers === 0 ? 0 : keptPace * evidence.serviceMs,
	};
	return aged.answers + aged.timedAnswers === 0 ? undefined : aged;
}

function fitCount(count: number): number {
	return count < minimumCount ? 0 : count;
}

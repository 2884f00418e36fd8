import type {EndpointEvidence} from './endpoint-evidence.ts';

/**
 Adds two counts of evidence; a difference does not fall below 0.

 @example
 addEvidence({...noEvidence, answers: 1}, {...noEvidence, answers: 2}).answers; // 3
 */
export function addEvidence(a: EndpointEvidence, b: EndpointEvidence): EndpointEvidence {
	return {
		answers: Math.max(0, a.answers + b.answers),
		failures: Math.max(0, a.failures + b.failures),
		timedAnswers: Math.max(0, a.timedAnswers + b.timedAnswers),
		serviceMs: Math.max(0, a.serviceMs + b.serviceMs),
	};
}

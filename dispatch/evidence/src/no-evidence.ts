import type {EndpointEvidence} from './endpoint-evidence.ts';

/**
Evidence of an endpoint without recent requests.
*/
export const noEvidence: EndpointEvidence = {
	answers: 0, failures: 0, timedAnswers: 0, serviceMs: 0,
};

import type {EndpointEvidence} from './endpoint-evidence.ts';

/**
Evidence of a named endpoint.
*/
export type KnownEvidence = {
	readonly endpoint: string;
	readonly evidence: EndpointEvidence;
};

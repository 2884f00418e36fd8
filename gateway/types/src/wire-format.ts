import type {IncomingHttpHeaders} from 'node:http';
import type {AnswerMetadata} from './answer-metadata.ts';
import type {RequestMetadata} from './request-metadata.ts';
import type {SendMetadata} from './send-metadata.ts';

/**
Port that decodes and encodes the headers of callers and endpoints.
*/
export type WireFormat = {
	readonly readRequest: (headers: IncomingHttpHeaders) => RequestMetadata;
	/**
	Headers for an endpoint, as a flat list of names and values: the caller's without hop-by-hop headers, and those that the
	gateway sets.
	*/
	readonly writeRequest: (rawHeaders: readonly string[], metadata: SendMetadata) => string[];
	readonly readAnswer: (status: number, headers: IncomingHttpHeaders) => AnswerMetadata;
	/**
	Headers of an endpoint's answer for the caller, as a flat list without hop-by-hop headers.
	*/
	readonly writeAnswer: (headers: IncomingHttpHeaders) => string[];
};

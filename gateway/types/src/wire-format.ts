import type {IncomingHttpHeaders} from 'node:http';
import type {AnswerMetadata} from './answer-metadata.ts';
import type {RequestMetadata} from './request-metadata.ts';
import type {SendMetadata} from './send-metadata.ts';

/**
Port of the header names that callers and endpoints use.
*/
export type WireFormat = {
	readonly readRequest: (headers: IncomingHttpHeaders) => RequestMetadata;
	/**
	Headers for an endpoint, as a flat list of names and values: the caller's less those of one connection and those that
	the gateway sets.
	*/
	readonly writeRequest: (rawHeaders: readonly string[], facts: SendMetadata) => string[];
	readonly readAnswer: (status: number, headers: IncomingHttpHeaders) => AnswerMetadata;
	/**
	Headers of an endpoint's answer for the caller, as a flat list, less those of one connection.
	*/
	readonly writeAnswer: (headers: IncomingHttpHeaders) => string[];
};

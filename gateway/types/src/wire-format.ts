import type {IncomingHttpHeaders} from 'node:http';
import type {AnswerFacts} from './answer-facts.ts';
import type {RequestFacts} from './request-facts.ts';
import type {SendFacts} from './send-facts.ts';

/**
Port of the header names that callers and endpoints use.
*/
export type WireFormat = {
	readonly readRequest: (headers: IncomingHttpHeaders) => RequestFacts;
	/**
	Headers for an endpoint, as a flat list of names and values: the caller's less those of one connection and those that
	the gateway sets.
	*/
	readonly writeRequest: (rawHeaders: readonly string[], facts: SendFacts) => string[];
	readonly readAnswer: (status: number, headers: IncomingHttpHeaders) => AnswerFacts;
	/**
	Headers of an endpoint's answer for the caller, as a flat list, less those of one connection.
	*/
	readonly writeAnswer: (headers: IncomingHttpHeaders) => string[];
};

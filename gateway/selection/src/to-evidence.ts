import {noEvidence, type EndpointEvidence} from '@valvesaddle/evidence';
import {measureServiceMs} from '@valvesaddle/pace';
import type {EndedRequest} from './ended-request.ts';

type Converter = (request: EndedRequest) => EndpointEvidence | undefined;

const erred: EndpointEvidence = {...noEvidence, answers: 1, failures: 1};

const converters: Readonly<Record<EndedRequest['end'], Converter>> = {
	done: ({elapsedMs, openBefore, selection}) => ({
		...noEvidence, answers: 1, timedAnswers: 1, serviceMs: measureServiceMs({elapsedMs, openBefore, slots: selection.endpoint.slots}),
	}),
	erred: () => erred,
	// All requests of a process that ends break off at once, and the next process may serve. Each node judges that by itself.
	failed: () => undefined,
	gone: () => undefined,
	// A full endpoint is healthy; its pace and open requests tell the rest.
	rejected: () => undefined,
	// Not caused by the endpoint.
	cancelled: () => undefined,
};

/**
 Converts the end of a request to what it shows of its endpoint; `undefined` if that is nothing.

 @example
 toEvidence({selection, end: 'erred', elapsedMs: 2, openBefore: 30})?.failures; // 1
 */
export function toEvidence(request: EndedRequest): EndpointEvidence | undefined {
	return converters[request.end](request);
}

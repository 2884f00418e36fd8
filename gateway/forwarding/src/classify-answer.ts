import type {AnswerMetadata} from '@valvesaddle/gateway-types';
import type {AnswerClass} from './answer-class.ts';

/**
Statuses by which callers assume that their request did not run. They are trusted only with the endpoint's explicit not-run header.
*/
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 Classifies an endpoint's answer by its status and headers.

 @example
 classifyAnswer(200, {requestId: 'a', isSigned: true, isNotRun: false, isEventStream: false, isEncoded: false, isMisdirected: false, retryAfterMs: undefined, isLeaving: false, requestLimit: undefined}, 'a'); // 'whole'
 */
export function classifyAnswer(status: number, metadata: AnswerMetadata, requestId: string | undefined): AnswerClass {
	if (metadata.requestId !== undefined && metadata.requestId !== requestId) {
		return 'untrusted';
	}

	if (metadata.isMisdirected) {
		return 'misdirected';
	}

	if (metadata.isNotRun) {
		return 'not-run';
	}

	if (status >= 500 && !notRunStatuses.has(status)) {
		return 'run-failed';
	}

	// Another process at the address may redirect or reject too, so these must be signed like successes.
	const isVerified = metadata.isSigned && metadata.requestId === requestId;
	if (!isVerified || notRunStatuses.has(status)) {
		return 'untrusted';
	}

	return status < 300 ? classifySuccess(metadata) : 'whole';
}

function classifySuccess({isEncoded, isEventStream}: AnswerMetadata): AnswerClass {
	if (isEncoded) {
		return 'untrusted';
	}

	return isEventStream ? 'stream' : 'whole';
}

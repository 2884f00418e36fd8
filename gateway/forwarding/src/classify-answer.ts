import type {AnswerMetadata, RouteKind} from '@valvesaddle/gateway-types';
import type {AnswerClass} from './answer-class.ts';
import {isEventStream} from './is-event-stream.ts';

type AnsweredRequest = {
	readonly requestId: string | undefined;
	readonly routeKind: RouteKind;
};

/**
Statuses by which callers assume that their request did not run. They are trusted only with the endpoint's explicit not-run header.
*/
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 Classifies an endpoint's answer by its status and headers.

 @example
 classifyAnswer(200, {requestId: 'a', isSigned: true, isNotRun: false, isEventStream: false, isEncoded: false, isFramed: true, isMisdirected: false, retryAfterMs: undefined, isLeaving: false, requestLimit: undefined}, {requestId: 'a', routeKind: 'safe'}); // 'whole'
 */
export function classifyAnswer(status: number, metadata: AnswerMetadata, {requestId, routeKind}: AnsweredRequest): AnswerClass {
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

	return status < 300 ? classifySuccess(metadata, routeKind) : 'whole';
}

function classifySuccess(metadata: AnswerMetadata, routeKind: RouteKind): AnswerClass {
	if (metadata.isEncoded) {
		return 'untrusted';
	}

	return isEventStream(routeKind, metadata) ? 'stream' : 'whole';
}

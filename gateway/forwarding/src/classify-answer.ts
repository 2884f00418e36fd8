import type {AnswerFacts} from '@valvesaddle/gateway-types';
import type {AnswerClass} from './answer-class.ts';

/**
Statuses that promise a caller that its request did not run; only an endpoint's explicit mark may bear them out.
*/
const promisingStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 Classifies the head of an endpoint's answer.

 @example
 classifyAnswer(200, {requestId: 'a', isSigned: true, isNotRun: false, isEventStream: false, isEncoded: false, isMisdirected: false, retryAfterMs: undefined, isLeaving: false}, 'a'); // 'whole'
 */
export function classifyAnswer(status: number, facts: AnswerFacts, requestId: string | undefined): AnswerClass {
	if (facts.requestId !== undefined && facts.requestId !== requestId) {
		return 'untrusted';
	}

	if (facts.isMisdirected) {
		return 'misdirected';
	}

	if (facts.isNotRun) {
		return 'not-run';
	}

	if (status >= 500 && !promisingStatuses.has(status)) {
		return 'run-failed';
	}

	// Another process at the address may redirect or reject too, so these have to be vouched for like successes.
	const isVouchedFor = facts.isSigned && facts.requestId === requestId;
	if (!isVouchedFor || promisingStatuses.has(status)) {
		return 'untrusted';
	}

	return status < 300 ? classifySuccess(facts) : 'whole';
}

function classifySuccess({isEncoded, isEventStream}: AnswerFacts): AnswerClass {
	if (isEncoded) {
		return 'untrusted';
	}

	return isEventStream ? 'stream' : 'whole';
}

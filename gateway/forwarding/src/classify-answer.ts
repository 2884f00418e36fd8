import type {AnswerFacts} from '@valvesaddle/gateway-types';
import type {Verdict} from './verdict.ts';

/**
Statuses that promise a caller that its request did not run; only an endpoint's explicit mark may bear them out.
*/
const promisingStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 Classifies the head of an endpoint's answer.

 @example
 classifyAnswer(200, {requestId: 'a', isSigned: true, isNotRun: false, isEventStream: false, isEncoded: false, isMisdirected: false}, 'a'); // 'whole'
 */
export function classifyAnswer(status: number, facts: AnswerFacts, requestId: string | undefined): Verdict {
	if (facts.requestId !== undefined && facts.requestId !== requestId) {
		return 'untrusted';
	}

	if (facts.isMisdirected) {
		return 'misdirected';
	}

	if (facts.isNotRun) {
		return 'not-run';
	}

	if (status >= 200 && status < 300) {
		const isTrusted = facts.isSigned && !facts.isEncoded && facts.requestId === requestId;
		if (!isTrusted) {
			return 'untrusted';
		}

		return facts.isEventStream ? 'stream' : 'whole';
	}

	if (promisingStatuses.has(status)) {
		return 'untrusted';
	}

	return status >= 500 ? 'run-failed' : 'whole';
}

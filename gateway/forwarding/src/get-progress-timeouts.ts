import type {Route} from '@valvesaddle/gateway-types';

/**
Part of the latency objective after which an endpoint that has not begun to answer is taken for stuck.
*/
const objectiveShare = 0.6;
/**
Factor on the predicted time to the first byte below which an endpoint is never taken for stuck.
*/
const predictedFactor = 3;
/**
Pauses within a stream, in pause objectives and in milliseconds, after which its endpoint is taken for stuck.
*/
const pauseTimeoutFactor = 4;
const minimumPauseTimeoutMs = 700;

/**
How long an endpoint may be silent, in milliseconds, before a request that may be repeated goes elsewhere.
*/
type ProgressTimeouts = {
	readonly firstByteMs: number;
	readonly pauseMs: number;
};

/**
 Tells how long to wait for an endpoint's first byte and between pieces.

 @param route - Sets the objectives.
 @param predictedMs - Predicted time to the first byte; 0 when nothing is predicted.
 @example
 getPatience({...route, latencyObjectiveMs: 300}, 0).firstMs; // 180
 */
export function getProgressTimeouts(route: Route, predictedMs: number): ProgressTimeouts {
	return {
		firstByteMs: Math.max(objectiveShare * route.latencyObjectiveMs, predictedFactor * predictedMs),
		pauseMs: Math.max(minimumPauseTimeoutMs, pauseTimeoutFactor * route.pauseObjectiveMs),
	};
}

import type {PauseModel} from './pause-model.ts';

type RecentInterference = {
	readonly sum: number;
	readonly at: number;
};

/**
Pause objective of a stream of sensitivity 1, in milliseconds.
*/
const unitMs = 100;
/**
Exponent of interference by the pause: a quarter of the streams are late at four fifths of their objective, all at the objective.
*/
const steepness = 6;
/**
The longest pause is a quantile of the last pauses, once there are enough of them.
*/
const maximumPauses = 64;
const minimumPauses = 12;
const longestPauseQuantile = 0.9;
/**
Weight of the latest stream in the mean duration of streams, and the initial mean.
*/
const streamWeight = 0.05;
const initialStreamMs = 2000;
/**
Time constant of the decay of recent interference.
*/
const decayMs = 3000;

/**
 Creates the pause model of a pool. An engine prefills prompts in parts between the tokens of its streams, so a stream
 pauses for as long as the prefill lasts, up to a longest pause, which is learned from engines that prefill all the time.

 @example
 const pauses = createPauseModel();
 pauses.toInterference(200, 1) * pauses.toSensitivity(200); // 1
 */
export function createPauseModel(): PauseModel {
	const interferences = new Map<string, RecentInterference>();
	let recent: number[] = [];
	let longestMs = Infinity;
	let streamMs = initialStreamMs;

	function toInterference(prefillMs: number, speedFactor: number): number {
		return (Math.min(prefillMs, longestMs / speedFactor) / unitMs) ** steepness;
	}

	function measureRecentInterference(endpoint: string): number {
		const interference = interferences.get(endpoint);
		return interference === undefined ? 0 : interference.sum * Math.exp((interference.at - performance.now()) / decayMs);
	}

	return {
		toSensitivity: pauseObjectiveMs => pauseObjectiveMs > 0 ? (unitMs / pauseObjectiveMs) ** steepness : 0,
		toInterference,
		recordPrefill(endpoint, prefillMs, speedFactor) {
			interferences.set(endpoint, {sum: measureRecentInterference(endpoint) + toInterference(prefillMs, speedFactor), at: performance.now()});
		},
		recordPause(pauseMs, speedFactor) {
			recent = [...recent.slice(1 - maximumPauses), pauseMs * speedFactor];
			if (recent.length >= minimumPauses) {
				longestMs = recent.toSorted((a, b) => a - b)[Math.floor(longestPauseQuantile * recent.length)] ?? Infinity;
			}
		},
		recordStream(milliseconds) {
			streamMs += (milliseconds - streamMs) * streamWeight;
		},
		predictInterference: endpoint => measureRecentInterference(endpoint) * streamMs / decayMs,
		removeEndpoint(endpoint) {
			interferences.delete(endpoint);
		},
		getLongestPauseMs: () => longestMs,
	};
}

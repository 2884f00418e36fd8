import {build, type Histogram} from 'hdr-histogram-js';
import type {LengthModel} from './length-model.ts';

const maximumAnswerTokens = 131_072;
const defaultAnswerTokens = 200;
const quantileCount = 20;
const recordsPerRefresh = 32;
/**
The histogram is reset after this many answers, so that old lengths don't count.
*/
const recordsPerWindow = 2048;
/**
An answer longer than all recorded ones is expected to continue for half of its current length.
*/
const extrapolationFactor = 1.5;

type ClassLengths = {
	histogram: Histogram;
	sinceRefresh: number;
	quantiles: readonly number[];
};

/**
 Creates a model of answer lengths with a histogram for each class. The expected length is the mean of the
 recorded quantiles that exceed the tokens so far.

 @example
 model.record('estimate', 412);
 model.expect('estimate', 0); // 200 until enough answers are recorded
 */
export function createLengthModel(): LengthModel {
	const classes = new Map<string, ClassLengths>();

	return {
		record(className, tokens) {
			const lengths = classes.get(className) ?? {histogram: buildHistogram(), sinceRefresh: 0, quantiles: []};
			classes.set(className, lengths);
			const rounded = Math.max(1, Math.round(tokens));
			lengths.histogram.recordValue(Math.min(maximumAnswerTokens, rounded));
			lengths.sinceRefresh++;
			if (lengths.sinceRefresh >= recordsPerRefresh) {
				updateQuantiles(lengths);
			}
		},
		expect(className, tokensSoFar) {
			const quantiles = classes.get(className)?.quantiles ?? [];
			return predictLength(quantiles, tokensSoFar);
		},
	};
}

function buildHistogram(): Histogram {
	return build({
		lowestDiscernibleValue: 1, highestTrackableValue: maximumAnswerTokens, numberOfSignificantValueDigits: 1, bitBucketSize: 32, useWebAssembly: false,
	});
}

function updateQuantiles(lengths: ClassLengths): void {
	lengths.sinceRefresh = 0;
	const percentiles = Array.from({length: quantileCount}, (_, index) => ((index + 0.5) / quantileCount) * 100);
	lengths.quantiles = percentiles.map(percentile => lengths.histogram.getValueAtPercentile(percentile));
	if (lengths.histogram.totalCount >= recordsPerWindow) {
		lengths.histogram = buildHistogram();
	}
}

function predictLength(quantiles: readonly number[], tokensSoFar: number): number {
	if (quantiles.length === 0) {
		return Math.max(defaultAnswerTokens, tokensSoFar * extrapolationFactor);
	}

	const longerLengths = quantiles.filter(length => length > tokensSoFar);
	if (longerLengths.length === 0) {
		return tokensSoFar * extrapolationFactor;
	}

	let sum = 0;
	for (const length of longerLengths) {
		sum += length;
	}

	return sum / longerLengths.length;
}

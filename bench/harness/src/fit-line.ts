import type {Line} from './line.ts';
import type {Point} from './point.ts';

/**
 Fits a line through points by least squares.

 @example
 fitLine([{x: 0, y: 1}, {x: 1, y: 3}]); // {slope: 2, intercept: 1, error: 0}
 */
export function fitLine(points: readonly Point[]): Line {
	const meanX = findMean(points.map(({x}) => x));
	const meanY = findMean(points.map(({y}) => y));
	let products = 0;
	let squares = 0;
	for (const {x, y} of points) {
		products += (x - meanX) * (y - meanY);
		squares += (x - meanX) ** 2;
	}

	const slope = squares === 0 ? 0 : products / squares;
	const intercept = meanY - (slope * meanX);
	const error = Math.sqrt(findMean(points.map(({x, y}) => (y - intercept - (slope * x)) ** 2)));
	return {slope, intercept, error};
}

function findMean(values: readonly number[]): number {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return values.length === 0 ? 0 : sum / values.length;
}

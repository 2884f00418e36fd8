import {findPercentile} from '@valvesaddle/bench-harness';
import type {ClassSummary} from './class-summary.ts';
import type {LoadPlan} from './load-plan.ts';
import type {LoadResult} from './load-result.ts';
import type {LoadSummary} from './load-summary.ts';

/**
 Works out the measures of a load.

 @param plan - The load that was sent.
 @param results - What became of each of its requests.
 @param generatedTokens - Tokens that the engines generated in all.
 @example
 summarizeLoad(plan, results, 120_000).goodTokensPerSecond;
 */
export function summarizeLoad(plan: LoadPlan, results: readonly LoadResult[], generatedTokens: number): LoadSummary {
	const seconds = plan.lengthMs / 1000;
	const good = results.filter(({isInTime}) => isInTime);
	const complete = results.filter(({outcome}) => outcome === 'complete');
	const usefulTokens = addUp(complete.map(({tokens}) => tokens));
	return {
		classes: plan.classes.map(({className}) => summarizeClass(className, results.filter(result => result.className === className))),
		goodTokensPerSecond: addUp(good.map(({tokens}) => tokens)) / seconds,
		goodAnswersPerSecond: good.length / seconds,
		wastedPart: generatedTokens === 0 ? 0 : Math.max(0, generatedTokens - usefulTokens) / generatedTokens,
		jainIndex: findJainIndex(measureFairness(plan, results)),
		wrongAnswers: results.filter(({outcome}) => outcome === 'wrong').length,
		reconnects: addUp(results.map(({reconnects}) => reconnects)),
	};
}

function summarizeClass(className: string, results: readonly LoadResult[]): ClassSummary {
	const complete = results.filter(({outcome}) => outcome === 'complete');
	const firstTokens = complete.map(({firstTokenMs}) => firstTokenMs ?? 0);
	return {
		className,
		requests: results.length,
		attainment: results.length === 0 ? 1 : results.filter(({isInTime}) => isInTime).length / results.length,
		refused: results.filter(({outcome}) => outcome === 'refused').length,
		failed: results.filter(({outcome}) => outcome === 'failed' || outcome === 'wrong').length,
		firstTokenP50: findPercentile(firstTokens, 0.5),
		firstTokenP99: findPercentile(firstTokens, 0.99),
		worstWaitMs: Math.max(0, ...firstTokens),
		complete: complete.length,
	};
}

/**
Each account's served tokens over its max-min fair share of all that was served.
*/
function measureFairness(plan: LoadPlan, results: readonly LoadResult[]): readonly number[] {
	const perAccount = plan.accounts.map(({name}) => results.filter(({account}) => account === name));
	const wanted = perAccount.map(own => addUp(own.map(({wantedTokens}) => wantedTokens)));
	const served = perAccount.map(own => addUp(own.filter(({outcome}) => outcome === 'complete').map(({tokens}) => tokens)));
	const shares = findFairShares(wanted, addUp(served));
	return served.map((tokens, index) => shares[index] === 0 ? 1 : tokens / (shares[index] ?? 1));
}

/**
Splits what was served: nobody gets more than was wanted, and what is left goes to the others in equal parts.
*/
function findFairShares(wanted: readonly number[], served: number): readonly number[] {
	const shares = wanted.map(() => 0);
	let left = served;
	const order = wanted.map((_, index) => index).toSorted((a, b) => (wanted[a] ?? 0) - (wanted[b] ?? 0));
	for (const [position, index] of order.entries()) {
		const share = Math.min(wanted[index] ?? 0, left / (order.length - position));
		shares[index] = share;
		left -= share;
	}

	return shares;
}

function findJainIndex(values: readonly number[]): number {
	const squares = addUp(values.map(value => value ** 2));
	return squares === 0 ? 1 : (addUp(values) ** 2) / (values.length * squares);
}

function addUp(values: readonly number[]): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}

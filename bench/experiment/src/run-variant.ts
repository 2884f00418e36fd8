import {runEmulation, type EmulationLoad, type EmulationReport} from '@valvesaddle/emulator-fleet';
import {
	createDraftsBesideFaults,
	createDraftsBesideOverload,
	createDraftsBesideQueries,
	createLargeFleet,
} from '@valvesaddle/emulator-loads';
import type {Experiment} from './experiment.ts';
import type {Spread} from './spread.ts';
import type {VariantReport} from './variant-report.ts';

const loads: Readonly<Record<Experiment['load'], () => EmulationLoad>> = {
	'drafts-beside-queries': createDraftsBesideQueries,
	'drafts-beside-faults': createDraftsBesideFaults,
	'drafts-beside-overload': createDraftsBesideOverload,
	'large-fleet': createLargeFleet,
};
/**
As the gateway has them by default: the time within which reading again counts, in milliseconds, and the first reading rate,
in tokens a millisecond.
*/
const reuseMs = 10_000;
const prefillTokensPerMs = 50;
const tokensPerThousand = 1000;

type VariantOptions = {
	readonly name: string;
	readonly load: Experiment['load'];
	readonly seeds: number;
	readonly variant: Experiment['variants'][string];
	/**
	Is told of each seed that was run.
	*/
	readonly onSeed: (seed: number) => void;
};

/**
 Runs a variant over its seeds, 1 and up.

 @example
 runVariant({name: 'all', load: 'drafts-beside-queries', seeds: 5, variant, onSeed() {}}).figures['worth']?.mean; // 0.87
 */
export function runVariant({name, load, seeds, variant, onSeed}: VariantOptions): VariantReport {
	const base = loads[load]();
	const site = {...base, nodes: variant.nodes ?? base.nodes, newsMs: variant.news_ms ?? base.newsMs};
	const runs = Array.from({length: seeds}, (_value, index) => {
		const report = runEmulation({
			load: site,
			seed: index + 1,
			selection: {
				interferenceWeight: variant.harm_weight, riskWeight: variant.risk_weight, rereadMsPerToken: variant.reread_ms_per_token, reuseMs, prefillTokensPerMs,
			},
			admission: {lateFactor: variant.late_factor, waitFactor: variant.wait_factor, retryAfterFactor: variant.return_factor},
		});
		onSeed(index + 1);
		return listFigures(report);
	});
	const names = Object.keys(runs[0] ?? {});
	return {name, seeds, figures: Object.fromEntries(names.map(figure => [figure, measureSpread(runs.map(run => run[figure] ?? 0))]))};
}

function listFigures(report: EmulationReport): Readonly<Record<string, number>> {
	const classes = Object.entries(report.classes).flatMap(([name, {asked, inTime, firstLate, pauseLate, turnedAway, worth}]) => [
		[`${name} worth`, worth],
		[`${name} in time`, inTime / asked],
		[`${name} first late`, firstLate / asked],
		[`${name} pause late`, pauseLate / asked],
		[`${name} turned away`, turnedAway / asked],
	] as const);
	return {
		worth: report.worth,
		'worst class': report.worstClass,
		'worst window': report.worstWindow,
		...Object.fromEntries(classes),
		'read, 1,000 tokens': report.readTokens / tokensPerThousand,
		'read again, 1,000 tokens': report.readAgainTokens / tokensPerThousand,
	};
}

function measureSpread(values: readonly number[]): Spread {
	return {mean: values.reduce((sum, value) => sum + value, 0) / values.length, least: Math.min(...values), most: Math.max(...values)};
}

import {runEmulation, type EmulationLoad, type EmulationReport} from '@valvesaddle/emulator-fleet';
import {
	createDarkEngines,
	createDraftsBesideFaults,
	createDraftsBesideOverload,
	createDraftsBesideQueries,
	createFullMemories,
	createLargeFleet,
	createPausingEngines,
	createSmallMemories,
	createUnevenEngines,
	createWeakNodes,
} from '@valvesaddle/emulator-loads';
import type {Experiment} from './experiment.ts';
import type {Spread} from './spread.ts';
import type {VariantReport} from './variant-report.ts';

const loads: Readonly<Record<Experiment['load'], (seed: number) => EmulationLoad>> = {
	'drafts-beside-queries': createDraftsBesideQueries,
	'drafts-beside-faults': createDraftsBesideFaults,
	'drafts-beside-overload': createDraftsBesideOverload,
	'full-memories': createFullMemories,
	'large-fleet': createLargeFleet,
	'small-memories': createSmallMemories,
	'uneven-engines': createUnevenEngines,
	'dark-engines': seed => createDarkEngines({isOverloaded: false, seed}),
	'dark-engines-overload': seed => createDarkEngines({isOverloaded: true, seed}),
	'pausing-engines': seed => createPausingEngines({isOverloaded: false, seed}),
	'pausing-engines-overload': seed => createPausingEngines({isOverloaded: true, seed}),
	'weak-nodes': seed => createWeakNodes({isOverloaded: false, seed}),
	'weak-nodes-overload': seed => createWeakNodes({isOverloaded: true, seed}),
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
	const runs = Array.from({length: seeds}, (_value, index) => {
		const base = loads[load](index + 1);
		const site = {...base, nodes: variant.nodes ?? base.nodes, newsMs: variant.news_ms ?? base.newsMs};
		const report = runEmulation({
			load: site,
			seed: index + 1,
			selection: {
				interferenceWeight: variant.harm_weight, riskWeight: variant.risk_weight, rereadMsPerToken: variant.reread_ms_per_token, isRereadByRate: variant.reread_by_rate, reservedShare: variant.reserved_share, reuseMs, prefillTokensPerMs, isMemoryPredicted: variant.memory_room,
			},
			admission: {lateFactor: variant.late_factor, waitFactor: variant.wait_factor, retryAfterFactor: variant.return_factor},
			leaving: variant.leaving,
			isReadFirst: variant.read_first,
			isFailureCounted: variant.count_failures,
			isWaiting: variant.waiting,
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
		late: report.late,
		cut: report.cut,
		'bad gateway': report.badGateway,
		'engine refusals': report.engineRefusals,
		'attempts ended': report.attempts.ended,
		'ended as stalled': report.attempts.endedAsStalled,
		repeats: report.attempts.repeats,
		'repeats of use': report.attempts.repeatsOfUse,
		'repeats later': report.attempts.repeatsLater,
		'repeats in vain': report.attempts.repeatsInVain,
		'ended for nothing': report.attempts.endedForNothing,
		'lost prompt, 1,000 tokens': report.attempts.lostPromptTokens / tokensPerThousand,
		'lost output, 1,000 tokens': report.attempts.lostOutputTokens / tokensPerThousand,
		...Object.fromEntries(classes),
		preempted: report.preempted,
		'read, 1,000 tokens': report.readTokens / tokensPerThousand,
		'read again, 1,000 tokens': report.readAgainTokens / tokensPerThousand,
	};
}

function measureSpread(values: readonly number[]): Spread {
	return {
		mean: values.reduce((sum, value) => sum + value, 0) / values.length, least: Math.min(...values), most: Math.max(...values), values,
	};
}

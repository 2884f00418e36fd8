import type {CallerOutcome} from './caller-outcome.ts';
import type {ClassReport} from './class-report.ts';
import type {EmulationReport} from './emulation-report.ts';

/**
Length of a window of start times, in milliseconds; the worst one is reported.
*/
const windowMs = 2000;
const badGatewayStatus = 502;

type Summary = Pick<EmulationReport, 'classes' | 'worth' | 'worstClass' | 'worstWindow' | 'late' | 'cut' | 'badGateway'>;

/**
 Summarizes the outcomes of a run.

 @example
 summarizeOutcomes([]).worth; // 1
 */
export function summarizeOutcomes(outcomes: readonly CallerOutcome[]): Summary {
	const byClass = Map.groupBy(outcomes, ({className}) => className);
	const byWindow = Map.groupBy(outcomes, ({startedAt}) => Math.floor(startedAt / windowMs));
	return {
		classes: Object.fromEntries(byClass.entries().map(([name, list]) => [name, summarizeClass(list)])),
		worth: measureWorth(outcomes),
		late: outcomes.filter(({end}) => end === 'firstLate' || end === 'pauseLate').length / Math.max(1, outcomes.length),
		cut: outcomes.filter(({failure}) => failure === 'cut').length,
		badGateway: outcomes.filter(({failure}) => failure === badGatewayStatus).length,
		worstClass: Math.min(1, ...byClass.values().map(list => measureWorth(list))),
		worstWindow: Math.min(1, ...byWindow.values().map(list => measureWorth(list))),
	};
}

function summarizeClass(outcomes: readonly CallerOutcome[]): ClassReport {
	const count = (end: CallerOutcome['end']) => outcomes.filter(outcome => outcome.end === end).length;
	return {
		asked: outcomes.length,
		inTime: count('inTime'),
		firstLate: count('firstLate'),
		pauseLate: count('pauseLate'),
		refused: count('refused'),
		turnedAway: outcomes.filter(({wasRefused}) => wasRefused).length,
		failed: count('failed'),
		abandoned: count('abandoned'),
		worth: measureWorth(outcomes),
	};
}

function measureWorth(outcomes: readonly CallerOutcome[]): number {
	const owed = outcomes.reduce((sum, outcome) => sum + outcome.owed, 0);
	const earned = outcomes.reduce((sum, outcome) => sum + outcome.earned, 0);
	return owed === 0 ? 1 : earned / owed;
}

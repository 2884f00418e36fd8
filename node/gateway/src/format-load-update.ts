import type {EndpointEvidence} from '@valvesaddle/evidence';
import type {OriginLoadUpdate} from '@valvesaddle/news';
import type {EndpointLoad} from '@valvesaddle/selection';
import type {LoadUpdateMessage} from './load-update-message.ts';

type LoadRow = LoadUpdateMessage['loads'][number];

/**
Steps per unit to which sensitivities and aged counts are rounded; they are sums of fractions.
*/
const stepsPerUnit = 100;

/**
 Formats a load update as rows without field names, in whole tokens and milliseconds.

 @example
 formatLoadUpdate({origin: 'n1', nodes: 1, loads: [['i-7f', {...noLoad, open: 2}]], placements: []}).loads; // [['i-7f', 2, [], 0, 0, 0, 0, 0]]
 */
export function formatLoadUpdate({nodes, loads, placements}: OriginLoadUpdate): LoadUpdateMessage {
	return {
		nodes,
		loads: loads.map(([endpoint, load]) => formatLoad(endpoint, load)),
		placements: placements.map(({endpoint, pool, parts, tokens}) => [endpoint, pool, [...parts], tokens]),
	};
}

function formatLoad(endpoint: string, {open, pendingPrefill, sensitivity, observers, stalledObservers, prefilledTokens, prefillMs, evidence}: EndpointLoad): LoadRow {
	const row = [
		endpoint,
		open,
		pendingPrefill.map(tokens => Math.round(tokens)),
		toFraction(sensitivity),
		observers,
		stalledObservers,
		Math.round(prefilledTokens),
		Math.round(prefillMs),
	] as const;
	return evidence === undefined ? row : [...row, formatEvidence(evidence)];
}

function formatEvidence({answers, failures, timedAnswers, serviceMs}: EndpointEvidence): readonly [number, number, number, number] {
	return [toFraction(answers), toFraction(failures), toFraction(timedAnswers), Math.round(serviceMs)];
}

function toFraction(amount: number): number {
	return Math.round(amount * stepsPerUnit) / stepsPerUnit;
}

import type {EndpointEvidence} from '@valvesaddle/evidence';
import type {OriginLoadUpdate} from '@valvesaddle/news';
import type {EndpointLoad} from '@valvesaddle/selection';
import type {LoadUpdateMessage} from './load-update-message.ts';

type EvidenceRow = NonNullable<LoadUpdateMessage['evidence']>[number];

/**
Steps per unit to which sensitivities and aged counts are rounded; they are sums of fractions.
*/
const stepsPerUnit = 100;

type LoadRow = LoadUpdateMessage['loads'][number];

/**
 Formats a load update as rows without field names, in whole tokens and milliseconds. Optional fields at the end of a row are left out
 while they say nothing.

 @example
 formatLoadUpdate({origin: 'n1', nodes: 1, loads: [['i-7f', {...noLoad, open: 2}]], placements: []}).loads; // [['i-7f', 2, [], 0, 0, 0, 0, 0]]
 */
export function formatLoadUpdate({nodes, loads, placements}: OriginLoadUpdate): LoadUpdateMessage {
	const evidence = loads.flatMap(([, load], index) => load.evidence === undefined ? [] : [formatEvidence(index, load.evidence)]);
	return {
		nodes,
		loads: loads.map(([endpoint, load]) => formatLoad(endpoint, load)),
		placements: placements.map(({endpoint, pool, parts, tokens}) => [endpoint, pool, [...parts], tokens]),
		...evidence.length > 0 && {evidence},
	};
}

function formatLoad(endpoint: string, load: EndpointLoad): LoadRow {
	const {open, pendingPrefill, sensitivity, observers, stalledObservers, prefilledTokens, prefillMs, memoryTokens, protectedStreams} = load;
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
	if (protectedStreams > 0) {
		return [...row, Math.round(memoryTokens), protectedStreams];
	}

	return memoryTokens > 0 ? [...row, Math.round(memoryTokens)] : row;
}

function formatEvidence(index: number, {answers, failures, timedAnswers, serviceMs}: EndpointEvidence): EvidenceRow {
	return [index, toFraction(answers), toFraction(failures), toFraction(timedAnswers), Math.round(serviceMs)];
}

function toFraction(amount: number): number {
	return Math.round(amount * stepsPerUnit) / stepsPerUnit;
}

import {addEvidence, type EndpointEvidence} from '@valvesaddle/evidence';
import type {EndpointLoad} from './endpoint-load.ts';

/**
 Adds two loads; requests, streams, pending prompt tokens, sensitivity, memory and evidence do not fall below 0.

 @example
 addLoads({...noLoad, open: 1}, {...noLoad, open: 2}).open; // 3
 */
export function addLoads(a: EndpointLoad, b: EndpointLoad): EndpointLoad {
	const evidence = addKnown(a.evidence, b.evidence);
	const sum = {
		open: Math.max(0, a.open + b.open),
		pendingPrefill: addRanks(a.pendingPrefill, b.pendingPrefill),
		sensitivity: Math.max(0, a.sensitivity + b.sensitivity),
		observers: a.observers + b.observers,
		stalledObservers: a.stalledObservers + b.stalledObservers,
		prefilledTokens: a.prefilledTokens + b.prefilledTokens,
		prefillMs: a.prefillMs + b.prefillMs,
		protectedStreams: Math.max(0, a.protectedStreams + b.protectedStreams),
		memoryTokens: Math.max(0, a.memoryTokens + b.memoryTokens),
	};
	return evidence === undefined ? sum : {...sum, evidence};
}

function addKnown(a: EndpointEvidence | undefined, b: EndpointEvidence | undefined): EndpointEvidence | undefined {
	return a === undefined || b === undefined ? a ?? b : addEvidence(a, b);
}

function addRanks(a: readonly number[], b: readonly number[]): readonly number[] {
	const [longer, shorter] = a.length >= b.length ? [a, b] : [b, a];
	return shorter.length === 0 ? longer : longer.map((tokens, rank) => Math.max(0, tokens + (shorter[rank] ?? 0)));
}

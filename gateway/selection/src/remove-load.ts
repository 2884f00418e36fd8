import {addEvidence, type EndpointEvidence} from '@valvesaddle/evidence';
import {addLoads} from './add-loads.ts';
import type {EndpointLoad} from './endpoint-load.ts';

/**
 Subtracts a load from a sum; requests, streams, pending prompt tokens, sensitivity, memory and evidence do not fall below 0.

 @example
 removeLoad({...noLoad, open: 3}, {...noLoad, open: 2}).open; // 1
 */
export function removeLoad(sum: EndpointLoad, part: EndpointLoad): EndpointLoad {
	const {evidence, ...rest} = addLoads(sum, {
		open: -part.open,
		pendingPrefill: part.pendingPrefill.map(tokens => -tokens),
		sensitivity: -part.sensitivity,
		observers: -part.observers,
		stalledObservers: -part.stalledObservers,
		prefilledTokens: -part.prefilledTokens,
		prefillMs: -part.prefillMs,
		protectedStreams: -part.protectedStreams,
		memoryTokens: -part.memoryTokens,
	});
	return evidence === undefined ? rest : {...rest, evidence: removeEvidence(evidence, part.evidence)};
}

function removeEvidence(sum: EndpointEvidence, part: EndpointEvidence | undefined): EndpointEvidence {
	return part === undefined
		? sum
		: addEvidence(sum, {
			answers: -part.answers, failures: -part.failures, timedAnswers: -part.timedAnswers, serviceMs: -part.serviceMs,
		});
}

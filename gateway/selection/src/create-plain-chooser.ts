import {noEvidence, addEvidence, type EndpointEvidence} from '@valvesaddle/evidence';
import {estimatePaceMs, pickByExpectation, predictAnswerMs} from '@valvesaddle/pace';
import type {KnownEndpoint} from './known-endpoint.ts';
import type {LoadTable} from './load-table.ts';
import type {PlainChooser} from './plain-chooser.ts';

/**
Requests that a success is assumed beside, so that one failure among a few answers does not decide.
*/
const priorAnswers = 2;

type PlainChooserOptions = {
	readonly loads: Pick<LoadTable, 'get'>;
	readonly random: () => number;
};

/**
 Creates the chooser among endpoints without an engine, by the pace that their answers to all nodes show.

 @example
 const chooser = createPlainChooser({loads, random: Math.random});
 chooser.choose(ready, ready, criteria)?.endpoint.id;
 */
export function createPlainChooser({loads, random}: PlainChooserOptions): PlainChooser {
	function getEvidence({incarnation}: KnownEndpoint): EndpointEvidence {
		return loads.get(incarnation).evidence ?? noEvidence;
	}

	function addAll(endpoints: readonly KnownEndpoint[]): EndpointEvidence {
		let sum = noEvidence;
		for (const endpoint of endpoints) {
			sum = addEvidence(sum, getEvidence(endpoint));
		}

		return sum;
	}

	function predict(endpoint: KnownEndpoint, pool: EndpointEvidence): number {
		const evidence = getEvidence(endpoint);
		return predictAnswerMs({
			open: loads.get(endpoint.incarnation).open,
			slots: endpoint.slots,
			paceMs: estimatePaceMs(evidence, pool),
			successShare: 1 - (Math.min(evidence.failures, evidence.answers) / (evidence.answers + priorAnswers)),
		});
	}

	return {
		choose(ready, candidates, {urgency, isRepeatable = true}) {
			const pool = addAll(ready);
			const rated = candidates.map(endpoint => ({endpoint, costMs: predict(endpoint, pool)}));
			const picked = pickByExpectation({
				candidates: rated, getExpectedMs: ({costMs}) => costMs, isRepeatable, random,
			});
			return picked && {
				...picked, heldTokens: 0, readMs: 0, harmMs: 0, urgency, candidates: candidates.length, memoryTokens: 0, roomInMs: 0,
			};
		},
	};
}

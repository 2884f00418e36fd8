import type {OriginLoadUpdate} from '@valvesaddle/news';
import type {NewsMessage} from './news-message.ts';

/**
Part of a unit to which sensitivities are told; they are sums of parts of requests.
*/
const fractionOfUnit = 100;

/**
 Writes news of work as rows without names, whole numbers of tokens and milliseconds.

 @example
 formatNews({origin: 'n1', nodes: 1, loads: [['i-7f', {...noLoad, open: 2}]], placements: []}).loads; // [['i-7f', 2, [], 0, 0, 0, 0, 0]]
 */
export function formatNews({nodes, loads, placements}: OriginLoadUpdate): NewsMessage {
	return {
		nodes,
		loads: loads.map(([endpoint, {open, pendingPrefill: unread, sensitivity, observers: witnesses, stalledObservers: silent, prefilledTokens: readTokens, prefillMs: readMs}]) => [
			endpoint,
			open,
			unread.map(tokens => Math.round(tokens)),
			Math.round(sensitivity * fractionOfUnit) / fractionOfUnit,
			witnesses,
			silent,
			Math.round(readTokens),
			Math.round(readMs),
		]),
		placements: placements.map(({endpoint, pool, parts, tokens}) => [endpoint, pool, [...parts], tokens]),
	};
}

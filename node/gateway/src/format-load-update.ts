import type {OriginNews} from '@valvesaddle/news';
import type {LoadUpdateMessage} from './load-update-message.ts';

/**
Part of a unit to which sensitivities are told; they are sums of parts of requests.
*/
const fractionOfUnit = 100;

/**
 Writes news of work as rows without names, whole numbers of tokens and milliseconds.

 @example
 formatNews({origin: 'n1', nodes: 1, loads: [['i-7f', {...noLoad, open: 2}]], placements: []}).loads; // [['i-7f', 2, [], 0, 0, 0, 0, 0]]
 */
export function formatLoadUpdate({nodes, loads, placements}: OriginNews): LoadUpdateMessage {
	return {
		nodes,
		loads: loads.map(([endpoint, {open, unread, sensitivity, witnesses, silent, readTokens, readMs}]) => [
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

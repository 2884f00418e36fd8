import {addLoads} from './add-loads.ts';
import type {EndpointLoad} from './endpoint-load.ts';
import type {LoadTable} from './load-table.ts';
import {noLoad} from './no-load.ts';

/**
What is left of earlier readings with each new one, so that the pace follows an endpoint within some ten of them.
*/
const keptPart = 0.9;

/**
 Creates the table of work at endpoints.

 @example
 const loads = createLoadTable();
 loads.add('i-7f', {...noLoad, open: 1, unread: [6000]});
 loads.get('i-7f').open; // 1
 */
export function createLoadTable(): LoadTable {
	const own = new Map<string, EndpointLoad>();
	const peers = new Map<string, Map<string, EndpointLoad>>();
	const changed = new Set<string>();
	let unseenFactor = 1;

	return {
		get(endpoint) {
			let sum = own.get(endpoint) ?? noLoad;
			for (const loads of peers.values()) {
				sum = addLoads(sum, loads.get(endpoint) ?? noLoad);
			}

			return {
				open: sum.open * unseenFactor,
				unread: unseenFactor === 1 ? sum.unread : sum.unread.map(tokens => tokens * unseenFactor),
				sensitivity: sum.sensitivity * unseenFactor,
				witnesses: sum.witnesses,
				silent: sum.silent,
				readTokens: sum.readTokens,
				readMs: sum.readMs,
			};
		},
		add(endpoint, change) {
			own.set(endpoint, addLoads(own.get(endpoint) ?? noLoad, change));
			changed.add(endpoint);
		},
		recordReading(endpoint, tokens, milliseconds) {
			const before = own.get(endpoint) ?? noLoad;
			own.set(endpoint, {
				...before, readTokens: (before.readTokens * keptPart) + tokens, readMs: (before.readMs * keptPart) + milliseconds,
			});
			changed.add(endpoint);
		},
		setSilence(endpoint, witnesses, silent) {
			const before = own.get(endpoint) ?? noLoad;
			if (before.witnesses === witnesses && before.silent === silent) {
				return;
			}

			own.set(endpoint, {...before, witnesses, silent});
			changed.add(endpoint);
		},
		applyPeer(node, endpoint, load) {
			const loads = peers.get(node) ?? new Map<string, EndpointLoad>();
			loads.set(endpoint, load);
			peers.set(node, loads);
		},
		setUnseenFactor(factor) {
			unseenFactor = factor;
		},
		removePeer(node) {
			peers.delete(node);
		},
		removeEndpoint(endpoint) {
			own.delete(endpoint);
			changed.delete(endpoint);
			for (const loads of peers.values()) {
				loads.delete(endpoint);
			}
		},
		takeChanged() {
			const news = [...changed].map(endpoint => [endpoint, own.get(endpoint) ?? noLoad] as const);
			changed.clear();
			return news;
		},
		listOwn: () => [...own],
	};
}

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
	/**
	Endpoints that some node has found silent.
	*/
	const suspects = new Set<string>();
	/**
	Sums over all nodes, until one of their parts changes.
	*/
	const sums = new Map<string, EndpointLoad>();
	let unseenFactor = 1;

	function setOwn(endpoint: string, load: EndpointLoad): void {
		own.set(endpoint, load);
		changed.add(endpoint);
		sums.delete(endpoint);
	}

	function measureSum(endpoint: string): EndpointLoad {
		let sum = own.get(endpoint) ?? noLoad;
		for (const loads of peers.values()) {
			sum = addLoads(sum, loads.get(endpoint) ?? noLoad);
		}

		return {
			open: sum.open * unseenFactor,
			pendingPrefill: unseenFactor === 1 ? sum.pendingPrefill : sum.pendingPrefill.map(tokens => tokens * unseenFactor),
			sensitivity: sum.sensitivity * unseenFactor,
			observers: sum.observers,
			stalledObservers: sum.stalledObservers,
			prefilledTokens: sum.prefilledTokens,
			prefillMs: sum.prefillMs,
		};
	}

	function get(endpoint: string): EndpointLoad {
		const sum = sums.get(endpoint) ?? measureSum(endpoint);
		sums.set(endpoint, sum);
		return sum;
	}

	return {
		get,
		add(endpoint, change) {
			setOwn(endpoint, addLoads(own.get(endpoint) ?? noLoad, change));
		},
		recordReading(endpoint, tokens, milliseconds) {
			const before = own.get(endpoint) ?? noLoad;
			setOwn(endpoint, {
				...before, prefilledTokens: (before.prefilledTokens * keptPart) + tokens, prefillMs: (before.prefillMs * keptPart) + milliseconds,
			});
		},
		setSilence(endpoint, witnesses, silent) {
			const before = own.get(endpoint) ?? noLoad;
			if (before.observers === witnesses && before.stalledObservers === silent) {
				return;
			}

			setOwn(endpoint, {...before, observers: witnesses, stalledObservers: silent});
			suspects.add(endpoint);
		},
		listSilent() {
			for (const endpoint of suspects) {
				if (get(endpoint).stalledObservers === 0) {
					suspects.delete(endpoint);
				}
			}

			return [...suspects].filter(endpoint => {
				const {observers: witnesses, stalledObservers: silent} = get(endpoint);
				return silent >= witnesses;
			});
		},
		applyPeer(node, endpoint, load) {
			const loads = peers.get(node) ?? new Map<string, EndpointLoad>();
			loads.set(endpoint, load);
			peers.set(node, loads);
			sums.delete(endpoint);
			if (load.stalledObservers > 0) {
				suspects.add(endpoint);
			}
		},
		setUnseenFactor(factor) {
			if (factor === unseenFactor) {
				return;
			}

			unseenFactor = factor;
			sums.clear();
		},
		removePeer(node) {
			peers.delete(node);
			sums.clear();
		},
		removeEndpoint(endpoint) {
			own.delete(endpoint);
			changed.delete(endpoint);
			suspects.delete(endpoint);
			sums.delete(endpoint);
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

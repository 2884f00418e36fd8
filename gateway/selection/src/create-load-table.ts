import {addLoads} from './add-loads.ts';
import type {EndpointLoad} from './endpoint-load.ts';
import type {LoadTable} from './load-table.ts';
import {noLoad} from './no-load.ts';

/**
Weight that earlier prefills keep with each new one: about the last ten determine the speed of an endpoint.
*/
const prefillDecay = 0.9;

/**
 Creates the table of loads.

 @example
 const loads = createLoadTable();
 loads.add('i-7f', {...noLoad, open: 1, pendingPrefill: [6000]});
 loads.get('i-7f').open; // 1
 */
export function createLoadTable(): LoadTable {
	const own = new Map<string, EndpointLoad>();
	const peers = new Map<string, Map<string, EndpointLoad>>();
	const changed = new Set<string>();
	/**
	Endpoints that some node has reported as stalled.
	*/
	const suspects = new Set<string>();
	/**
	Cached sums over all nodes; an entry is dropped when a part of it changes.
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
		recordPrefill(endpoint, tokens, milliseconds) {
			const before = own.get(endpoint) ?? noLoad;
			setOwn(endpoint, {
				...before, prefilledTokens: (before.prefilledTokens * prefillDecay) + tokens, prefillMs: (before.prefillMs * prefillDecay) + milliseconds,
			});
		},
		setStallCounts(endpoint, observers, stalledObservers) {
			const before = own.get(endpoint) ?? noLoad;
			if (before.observers === observers && before.stalledObservers === stalledObservers) {
				return;
			}

			setOwn(endpoint, {...before, observers, stalledObservers});
			suspects.add(endpoint);
		},
		listStalled() {
			for (const endpoint of suspects) {
				if (get(endpoint).stalledObservers === 0) {
					suspects.delete(endpoint);
				}
			}

			return [...suspects].filter(endpoint => {
				const {observers, stalledObservers} = get(endpoint);
				return stalledObservers >= observers;
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
			const changedLoads = [...changed].map(endpoint => [endpoint, own.get(endpoint) ?? noLoad] as const);
			changed.clear();
			return changedLoads;
		},
		listOwn: () => [...own],
	};
}

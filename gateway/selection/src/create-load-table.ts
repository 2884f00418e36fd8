import {
	addEvidence,
	advanceEvidence,
	evidenceStepMs,
	noEvidence,
} from '@valvesaddle/evidence';
import {addLoads} from './add-loads.ts';
import type {EndpointLoad} from './endpoint-load.ts';
import type {LoadTable} from './load-table.ts';
import {noLoad} from './no-load.ts';

/**
Weight that earlier prefills keep with each new one: about the last ten determine the speed of an endpoint.
*/
const prefillDecay = 0.9;
/**
Time for which a peer's report of a stall counts. While a stall lasts, nodes that send requests there report it anew.
*/
const suspicionMs = 2000;

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
	Endpoints that some node has reported as stalled, and when it did so last, on the monotonic clock.
	*/
	const suspects = new Map<string, number>();
	/**
	Cached sums over all nodes; an entry is dropped when a part of it changes.
	*/
	const sums = new Map<string, EndpointLoad>();
	let unseenFactor = 1;
	let agedAt = performance.now();

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
			...sum,
			open: sum.open * unseenFactor,
			pendingPrefill: unseenFactor === 1 ? sum.pendingPrefill : sum.pendingPrefill.map(tokens => tokens * unseenFactor),
			sensitivity: sum.sensitivity * unseenFactor,
			protectedStreams: sum.protectedStreams * unseenFactor,
			memoryTokens: sum.memoryTokens * unseenFactor,
		};
	}

	function advanceOwnEvidence(): void {
		if (performance.now() - agedAt < evidenceStepMs) {
			return;
		}

		agedAt = performance.now();
		for (const [endpoint, {evidence, ...load}] of own) {
			if (evidence === undefined) {
				continue;
			}

			const aged = advanceEvidence(evidence);
			setOwn(endpoint, aged === undefined ? load : {...load, evidence: aged});
		}
	}

	function get(endpoint: string): EndpointLoad {
		const sum = sums.get(endpoint) ?? measureSum(endpoint);
		sums.set(endpoint, sum);
		return sum;
	}

	/**
	Whether a report of a stall is recent or this node's own, which is checked again each time.
	*/
	function isCurrent(endpoint: string, reportedAt: number): boolean {
		return performance.now() - reportedAt <= suspicionMs || (own.get(endpoint) ?? noLoad).stalledObservers > 0;
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
		recordEvidence(endpoint, change) {
			const before = own.get(endpoint) ?? noLoad;
			setOwn(endpoint, {...before, evidence: addEvidence(before.evidence ?? noEvidence, change)});
		},
		setStallCounts(endpoint, observers, stalledObservers) {
			const before = own.get(endpoint) ?? noLoad;
			if (before.observers === observers && before.stalledObservers === stalledObservers) {
				return;
			}

			setOwn(endpoint, {...before, observers, stalledObservers});
			if (stalledObservers > before.stalledObservers) {
				suspects.set(endpoint, performance.now());
			}
		},
		listStalled() {
			for (const endpoint of suspects.keys()) {
				if (get(endpoint).stalledObservers === 0) {
					suspects.delete(endpoint);
				}
			}

			return suspects.entries().filter(([endpoint, reportedAt]) => {
				const {observers, stalledObservers} = get(endpoint);
				return stalledObservers >= observers && isCurrent(endpoint, reportedAt);
			}).map(([endpoint]) => endpoint).toArray();
		},
		applyPeer(node, endpoint, load) {
			const loads = peers.get(node) ?? new Map<string, EndpointLoad>();
			const reported = loads.get(endpoint)?.stalledObservers ?? 0;
			loads.set(endpoint, load);
			peers.set(node, loads);
			sums.delete(endpoint);
			// The same count again is no news: it is sent with each change of the load.
			if (load.stalledObservers > reported) {
				suspects.set(endpoint, performance.now());
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
			advanceOwnEvidence();
			const changedLoads = [...changed].map(endpoint => [endpoint, own.get(endpoint) ?? noLoad] as const);
			changed.clear();
			return changedLoads;
		},
		listOwn: () => [...own],
	};
}

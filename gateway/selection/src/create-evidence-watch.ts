import {
	advanceEjection,
	findFailing,
	isPoolFailing,
	noEvidence,
	type Ejection,
	type KnownEvidence,
} from '@valvesaddle/evidence';
import type {EjectionNotice} from './ejection-notice.ts';
import type {EvidenceWatch} from './evidence-watch.ts';
import type {FleetNodes} from './fleet-nodes.ts';
import type {KnownEndpoint} from './known-endpoint.ts';
import type {LoadTable} from './load-table.ts';
import {pickPermitOwner} from './pick-permit-owner.ts';

/**
Interval between decisions on a pool: half the time in which news of other nodes come.
*/
const updateMs = 20;
/**
Time for which one node may probe an endpoint: nodes have a request in about every other one.
*/
const probeSlotMs = 250;

type EvidenceWatchOptions = {
	readonly loads: Pick<LoadTable, 'get'>;
	readonly fleet: FleetNodes;
	/**
	Converts a time on the monotonic clock to Unix milliseconds, on which the nodes take turns.
	*/
	readonly toUnixTime: (at: number) => number;
	readonly onChanged: (notice: Omit<EjectionNotice, 'nodes'>) => void;
};

/**
 Creates the watch that ejects endpoints on the evidence of all nodes. Nodes that hear of the same answers come to the same decisions
 without a message. An ejected endpoint is probed by one node at a time, which is agreed on by a hash as the permits of limits are.

 @example
 const watch = createEvidenceWatch({loads, fleet, toUnixTime, onChanged() {}});
 watch.update('drafting', ready);
 watch.canUse('i-7f', true);
 */
export function createEvidenceWatch({loads, fleet, toUnixTime, onChanged}: EvidenceWatchOptions): EvidenceWatch {
	const ejections = new Map<string, Ejection>();
	const failingPools = new Set<string>();
	const updatedAt = new Map<string, number>();

	function setEjection(pool: string, {endpoint, evidence}: KnownEvidence, after: Ejection | undefined): void {
		const before = ejections.get(endpoint);
		if (before === after) {
			return;
		}

		if (after === undefined) {
			ejections.delete(endpoint);
		} else {
			ejections.set(endpoint, after);
		}

		if (after?.state === 'probing') {
			return;
		}

		const reason = before === undefined ? 'failing' : 'probe-failed';
		onChanged({
			endpoint, pool, reason: after === undefined ? 'returned' : reason, answers: evidence.answers, failures: evidence.failures,
		});
	}

	function decide(pool: string, known: readonly KnownEvidence[]): void {
		const ejected = new Set(known.map(({endpoint}) => endpoint).filter(endpoint => ejections.has(endpoint)));
		const failing = new Set(findFailing({pool: known, ejected}));
		const now = performance.now();
		for (const endpoint of known) {
			const after = advanceEjection(ejections.get(endpoint.endpoint), {evidence: endpoint.evidence, isFailing: failing.has(endpoint.endpoint), now});
			setEjection(pool, endpoint, after);
		}

		if (isPoolFailing(known.filter(({endpoint}) => !ejections.has(endpoint)).map(({evidence}) => evidence))) {
			failingPools.add(pool);
		} else {
			failingPools.delete(pool);
		}
	}

	/**
	Whether it is this node's turn to probe an endpoint that has no open request.
	*/
	function canProbeNow(endpoint: string): boolean {
		const slot = Math.floor(toUnixTime(performance.now()) / probeSlotMs);
		return loads.get(endpoint).open === 0 && pickPermitOwner(`${endpoint} probe ${slot}`, fleet.list().toSorted()) === fleet.self;
	}

	return {
		update(pool: string, ready: readonly KnownEndpoint[]) {
			const now = performance.now();
			if (now - (updatedAt.get(pool) ?? -Infinity) < updateMs) {
				return;
			}

			updatedAt.set(pool, now);
			decide(pool, ready.map(({incarnation}) => ({endpoint: incarnation, evidence: loads.get(incarnation).evidence ?? noEvidence})));
		},
		canUse(endpoint, canProbe) {
			const ejection = ejections.get(endpoint);
			return ejection === undefined || (canProbe && ejection.state === 'probing' && canProbeNow(endpoint));
		},
		isPoolFailing: pool => failingPools.has(pool),
		removeEndpoint(endpoint) {
			ejections.delete(endpoint);
		},
	};
}

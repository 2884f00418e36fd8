import type {ReplicaCount} from '@valvesaddle/duty-scaling';
import type {ServingEndpoint} from '@valvesaddle/gateway-types';

/**
 Counts the ready replicas of a pool by data centre and kind, spot or on-demand.

 @example
 countReady(view.endpoints(), 'drafting'); // [{dataCentre: 'a', isSpot: false, count: 20}]
 */
export function countReady(endpoints: readonly ServingEndpoint[], pool: string): readonly ReplicaCount[] {
	const counts = new Map<string, ReplicaCount>();
	for (const {pool: of, state, dataCentre, isSpot = false} of endpoints) {
		if (of !== pool || state !== 'ready') {
			continue;
		}

		const key = `${dataCentre} ${isSpot}`;
		counts.set(key, {dataCentre, isSpot, count: (counts.get(key)?.count ?? 0) + 1});
	}

	return counts.values().toArray();
}

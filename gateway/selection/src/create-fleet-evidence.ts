import {createEvidenceWatch} from './create-evidence-watch.ts';
import type {EvidenceWatch} from './evidence-watch.ts';
import type {FleetNodes} from './fleet-nodes.ts';
import type {LoadTable} from './load-table.ts';
import type {SelectorOptions} from './selector-options.ts';

type FleetEvidenceOptions = {
	readonly settings: Pick<SelectorOptions, 'isEvidenceShared' | 'onEjection'>;
	readonly loads: Pick<LoadTable, 'get'>;
	readonly fleet: FleetNodes;
	readonly toUnixTime: (at: number) => number;
	/**
	Factor that extrapolates the known nodes to the whole fleet.
	*/
	readonly getUnseenFactor: () => number;
};

/**
 Creates the watch over the evidence of all nodes; `undefined` if they do not tell each other.

 @example
 createFleetEvidence({settings: {isEvidenceShared: true}, loads, fleet, toUnixTime, getUnseenFactor: () => 1});
 */
export function createFleetEvidence({settings: {isEvidenceShared = false, onEjection}, loads, fleet, toUnixTime, getUnseenFactor}: FleetEvidenceOptions): EvidenceWatch | undefined {
	if (!isEvidenceShared) {
		return undefined;
	}

	return createEvidenceWatch({
		loads,
		fleet,
		toUnixTime,
		onChanged(notice) {
			const known = fleet.list().length / getUnseenFactor();
			onEjection?.({...notice, nodes: Math.max(1, Math.round(known))});
		},
	});
}

import type {EndpointTable} from './endpoint-table.ts';
import type {GrantEntry} from './grant-entry.ts';
import type {GrantTable} from './grant-table.ts';

/**
A grant is removed if its node doesn't report it for this many lease durations. Nodes report their grants in rotation.
*/
const maximumLeasesWithoutReport = 20;

/**
 Creates the table of a pool's open grants.

 @example
 const grants = createGrantTable(endpoints, 6000);
 */
export function createGrantTable(endpoints: EndpointTable, leaseMs: number): GrantTable {
	const grants = new Map<string, GrantEntry>();
	const byRequest = new Map<string, string>();
	const lastSeenAt = new Map<string, number>();

	function remove(grantId: string): GrantEntry | undefined {
		const entry = grants.get(grantId);
		if (entry === undefined) {
			return undefined;
		}

		grants.delete(grantId);
		if (byRequest.get(entry.requestId) === grantId) {
			byRequest.delete(entry.requestId);
		}

		endpoints.updateInFlight(entry.endpointId, -1, entry.isUrgent);
		endpoints.setClaim(entry.endpointId, grantId, undefined);
		return entry;
	}

	function isStale({node, renewedAt}: GrantEntry, now: number): boolean {
		const nodeLastSeenAt = Math.max(renewedAt, lastSeenAt.get(node) ?? 0);
		return now - nodeLastSeenAt >= leaseMs || now - renewedAt >= leaseMs * maximumLeasesWithoutReport;
	}

	return {
		add(entry) {
			grants.set(entry.grantId, entry);
			byRequest.set(entry.requestId, entry.grantId);
			endpoints.updateInFlight(entry.endpointId, 1, entry.isUrgent);
			endpoints.setClaim(entry.endpointId, entry.grantId, entry.memory);
		},
		find: grantId => grants.get(grantId),
		findByRequest: requestId => grants.get(byRequest.get(requestId) ?? ''),
		replace(entry) {
			grants.set(entry.grantId, entry);
		},
		remove,
		renewNode(node, now) {
			lastSeenAt.set(node, now);
		},
		removeStale(now) {
			const stale = grants.values().filter(entry => isStale(entry, now)).toArray();
			for (const {grantId} of stale) {
				remove(grantId);
			}

			return stale.length;
		},
		size: () => grants.size,
	};
}

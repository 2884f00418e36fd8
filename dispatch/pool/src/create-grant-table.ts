import type {EndpointTable} from './endpoint-table.ts';
import type {GrantEntry} from './grant-entry.ts';
import type {GrantTable} from './grant-table.ts';

/**
 Creates the table of a pool's open grants.

 @example
 const grants = createGrantTable(endpoints);
 */
export function createGrantTable(endpoints: EndpointTable): GrantTable {
	const grants = new Map<string, GrantEntry>();
	const byRequest = new Map<string, string>();

	function remove(grantId: string): GrantEntry | undefined {
		const entry = grants.get(grantId);
		if (entry === undefined) {
			return undefined;
		}

		grants.delete(grantId);
		if (byRequest.get(entry.requestId) === grantId) {
			byRequest.delete(entry.requestId);
		}

		endpoints.count(entry.endpointId, -1, entry.isUrgent);
		return entry;
	}

	return {
		add(entry) {
			grants.set(entry.grantId, entry);
			byRequest.set(entry.requestId, entry.grantId);
			endpoints.count(entry.endpointId, 1, entry.isUrgent);
		},
		find: grantId => grants.get(grantId),
		findByRequest: requestId => grants.get(byRequest.get(requestId) ?? ''),
		replace(entry) {
			grants.set(entry.grantId, entry);
		},
		remove,
		removeStale(renewedBefore) {
			const stale = grants.values().filter(({renewedAt}) => renewedAt <= renewedBefore).toArray();
			for (const {grantId} of stale) {
				remove(grantId);
			}

			return stale.length;
		},
		size: () => grants.size,
	};
}

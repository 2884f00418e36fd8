import type {SessionTable} from './session-table.ts';

const maximumSessions = 20_000;
/**
Engines cache prefixes in limited memory; after this time the prefix has probably been evicted.
*/
const hintLifetimeMs = 600_000;

/**
 Creates a bounded table of session hints that evicts the oldest first.

 @example
 sessions.remember('depot-7', 'engine-2');
 sessions.find('depot-7'); // 'engine-2'
 */
export function createSessionTable(): SessionTable {
	const table = new Map<string, {readonly endpointId: string; readonly at: number}>();

	return {
		find(session) {
			const hint = session === undefined ? undefined : table.get(session);
			return hint !== undefined && Date.now() - hint.at < hintLifetimeMs ? hint.endpointId : undefined;
		},
		record(session, endpointId) {
			if (session === undefined) {
				return;
			}

			table.delete(session);
			table.set(session, {endpointId, at: Date.now()});
			const [oldest = ''] = table.keys();
			if (table.size > maximumSessions) {
				table.delete(oldest);
			}
		},
	};
}

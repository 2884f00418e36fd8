import type {SessionTable} from './session-table.ts';

const mostSessions = 20_000;
/**
Engines cache prefixes in limited memory; after this time the prefix is likely gone.
*/
const hintLifeMs = 600_000;

/**
 Creates the table of session hints: bounded, the oldest goes first.

 @example
 sessions.remember('depot-7', 'engine-2');
 sessions.find('depot-7'); // 'engine-2'
 */
export function createSessionTable(): SessionTable {
	const table = new Map<string, {readonly endpointId: string; readonly at: number}>();

	return {
		find(session) {
			const hint = session === undefined ? undefined : table.get(session);
			return hint !== undefined && Date.now() - hint.at < hintLifeMs ? hint.endpointId : undefined;
		},
		record(session, endpointId) {
			if (session === undefined) {
				return;
			}

			table.delete(session);
			table.set(session, {endpointId, at: Date.now()});
			const [oldest = ''] = table.keys();
			if (table.size > mostSessions) {
				table.delete(oldest);
			}
		},
	};
}

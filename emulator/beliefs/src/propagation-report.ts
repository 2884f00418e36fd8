import type {PropagationLogLine} from './propagation-log-line.ts';

/**
When the nodes applied the changes written to the store. Times are in milliseconds after the start. Terminated nodes are left out.
*/
export type PropagationReport = {
	readonly changes: ReadonlyArray<{
		readonly kind: string;
		/**
		Version of a configuration, or id of an endpoint.
		*/
		readonly subject: string;
		readonly writtenAtMs: number;
		/**
		Time at which each node applied the change, by the node's id.
		*/
		readonly appliedAtMs: ReadonlyMap<string, number>;
		/**
		Time at which the last node applied it, without nodes that started after the write.
		*/
		readonly lastAtMs: number;
		/**
		Ids of the nodes that never applied it.
		*/
		readonly missing: readonly string[];
	}>;
	/**
	Full cluster states that nodes received from peers.
	*/
	readonly statesFromPeers: number;
	readonly bytesSent: number;
	readonly messagesSent: number;
	readonly watchesInterrupted: number;
	/**
	Watches that ended without changes although there were some.
	*/
	readonly watchesMissed: number;
	/**
	Calls of the store, by name.
	*/
	readonly storeCalls: Readonly<Record<string, number>>;
	/**
	Log lines of the nodes; empty unless `isLogged` is set.
	*/
	readonly lines: readonly PropagationLogLine[];
};

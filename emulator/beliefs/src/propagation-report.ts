import type {PropagationLogLine} from './propagation-log-line.ts';

/**
When the nodes believed what was written. Times are in milliseconds after the start. Nodes that were lost are left out.
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
		When each node had it, by the node's id; 0 or later.
		*/
		readonly appliedAtMs: ReadonlyMap<string, number>;
		/**
		When the last of those that ever had it did, but for nodes that were started later.
		*/
		readonly lastAtMs: number;
		/**
		Nodes that never had it.
		*/
		readonly missing: readonly string[];
	}>;
	/**
	Whole states that nodes had from peers.
	*/
	readonly statesFromPeers: number;
	readonly bytesSent: number;
	readonly messagesSent: number;
	readonly watchesInterrupted: number;
	/**
	Watches that came back empty although something had changed.
	*/
	readonly watchesMissed: number;
	/**
	Calls on the store, by their name.
	*/
	readonly storeCalls: Readonly<Record<string, number>>;
	/**
	Empty unless they are asked for.
	*/
	readonly lines: readonly PropagationLogLine[];
};

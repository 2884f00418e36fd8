import type {DemandRow} from './demand-row.ts';
import type {DemandUpdate} from './demand-update.ts';
import type {PoolDemand} from './pool-demand.ts';

/**
The demand of request classes and client accounts over all nodes.
*/
export type DemandTable = {
	/**
	Adds demand that this node has seen.
	*/
	readonly record: (pool: string, row: DemandRow) => void;
	/**
	Records that a request at this node met contention for a pool.
	*/
	readonly markContended: (pool: string) => void;
	/**
	Whether this node or another has seen contention for the pool lately.
	*/
	readonly isContended: (pool: string) => boolean;
	/**
	The demand of all nodes, extrapolated by the factor of those that are not heard of.
	*/
	readonly read: (pool: string) => {readonly rows: readonly DemandRow[]; readonly unseenFactor: number};
	/**
	Names the accounts of the configuration in force; demand of others that peers tell is dropped.
	*/
	readonly setAccounts: (accounts: ReadonlySet<string>) => void;
	/**
	Applies what a linked node told. Must be called for each of its load updates, since a silent node's demand is dropped.
	*/
	readonly apply: (update: DemandUpdate) => void;
	/**
	What to tell another relay: the demand at this node and its members.
	*/
	readonly takeForRelay: (relay: string) => readonly PoolDemand[] | undefined;
	/**
	What to tell a member: the demand at all nodes except itself.
	*/
	readonly takeForMember: (member: string) => readonly PoolDemand[] | undefined;
	/**
	Forgets what a linked node told and was told.
	*/
	readonly removeLink: (node: string) => void;
	/**
	Forgets what a linked node was told.
	*/
	readonly resetLink: (node: string) => void;
};

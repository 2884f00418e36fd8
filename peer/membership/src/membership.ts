import type Emittery from 'emittery';
import type {Vm} from '@valvesaddle/types';
import type {MembershipEvents} from './membership-events.ts';

/**
Which VMs are in use: the platform's lagging list, corrected by what this node sees itself.
*/
export type Membership = {
	readonly events: Emittery<MembershipEvents>;
	/**
	Reads the list once, then keeps reading it.
	*/
	readonly start: () => Promise<void>;
	/**
	Routers that may carry duties: live, not suspected, this node included unless it leaves.
	*/
	readonly routers: (region?: string) => readonly string[];
	/**
	Other routers on the list, whether suspected or not.
	*/
	readonly others: () => readonly string[];
	readonly findAddress: (node: string) => string | undefined;
	/**
	Endpoints that the list calls leaving.
	*/
	readonly leavingEndpoints: () => ReadonlySet<string>;
	/**
	Notes that a node could not be reached.
	*/
	readonly suspect: (node: string) => void;
	/**
	Notes a sign of life.
	*/
	readonly trust: (node: string) => void;
	/**
	Notes a node's own word that it is leaving.
	*/
	readonly markLeaving: (node: string) => void;
	readonly close: () => Promise<void>;
};

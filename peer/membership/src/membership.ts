import type Emittery from 'emittery';
import type {Vm} from '@valvesaddle/types';
import type {MembershipEvents} from './membership-events.ts';

/**
The VMs in use: the platform's list, which lags, corrected by failures and departures that this node observes.
*/
export type Membership = {
	readonly events: Emittery<MembershipEvents>;
	/**
	Reads the list once, then polls it.
	*/
	readonly start: () => Promise<void>;
	/**
	Live routers that are neither suspected nor leaving, including this node; those of the region, if it has any.
	*/
	readonly routers: (region?: string) => readonly string[];
	/**
	Other routers on the list, including suspected ones.
	*/
	readonly others: () => readonly string[];
	readonly findAddress: (node: string) => string | undefined;
	/**
	Endpoints that the list marks as leaving.
	*/
	readonly leavingEndpoints: () => ReadonlySet<string>;
	/**
	Marks a node as suspected after a failed call or a lost link.
	*/
	readonly suspect: (node: string) => void;
	/**
	Clears the suspicion of a node that responded.
	*/
	readonly trust: (node: string) => void;
	/**
	Marks a node that announced its shutdown, until it is no longer on the list.
	*/
	readonly markLeaving: (node: string) => void;
	readonly close: () => Promise<void>;
};

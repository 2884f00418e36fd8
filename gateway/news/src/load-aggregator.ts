import type {LoadUpdate} from '@valvesaddle/selection';
import type {OriginLoadUpdate} from './origin-load-update.ts';

/**
Aggregates the load updates of a node and its peers. The endpoints that changed are kept for each linked node until it is sent
them, each endpoint once. A slow link gets fewer updates, and always the latest loads.
*/
export type LoadAggregator = {
	readonly addOwn: (update: LoadUpdate) => void;
	/**
	Adds an update of a member.
	*/
	readonly addMember: (update: OriginLoadUpdate) => void;
	/**
	Adds an update of another relay, with the sums over it and its members.
	*/
	readonly addGroup: (update: OriginLoadUpdate) => void;
	/**
	Removes a node or relay that is no longer connected.
	*/
	readonly removeOrigin: (origin: string) => void;
	/**
	Removes an incarnation of an endpoint that was removed.
	*/
	readonly removeEndpoint: (endpoint: string) => void;
	/**
	The next update for another relay: sums over this node and its members, of the endpoints that changed since the last one. A new
	link is sent all endpoints. `undefined` without changes.
	*/
	readonly takeForRelay: (relay: string) => OriginLoadUpdate | undefined;
	/**
	The next update for a member: sums over all nodes except itself, of the endpoints that changed since the last one. A new link is
	sent all endpoints. `undefined` without changes.
	*/
	readonly takeForMember: (member: string) => OriginLoadUpdate | undefined;
	/**
	Forgets what a linked node was sent; called when its link is lost or new.
	*/
	readonly removeLink: (node: string) => void;
};

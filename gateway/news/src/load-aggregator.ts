import type {LoadNews} from '@valvesaddle/selection';
import type {OriginLoadUpdate} from './origin-load-update.ts';

/**
Keeps what a node has to pass on of its own and others' work. What a linked node was not yet told is kept for it alone, each
endpoint once, so that one that can take little is told less often, and never of what has been overtaken.
*/
export type LoadAggregator = {
	readonly addOwn: (news: LoadNews) => void;
	/**
	Takes in news of a node that is linked to this one alone.
	*/
	readonly addMember: (news: OriginLoadUpdate) => void;
	/**
	Takes in news of another relay, for all its members.
	*/
	readonly addGroup: (news: OriginLoadUpdate) => void;
	/**
	Forgets a node or relay that is no longer heard.
	*/
	readonly removeOrigin: (origin: string) => void;
	/**
	Forgets an incarnation of an endpoint that is gone.
	*/
	readonly removeEndpoint: (endpoint: string) => void;
	/**
	What another relay is to be told since the last call, all at the first one: one sum for the node and its members.
	*/
	readonly takeForRelay: (relay: string) => OriginLoadUpdate | undefined;
	/**
	What a member is to be told since the last call, all at the first one: one sum for all nodes but itself.
	*/
	readonly takeForMember: (member: string) => OriginLoadUpdate | undefined;
	/**
	Forgets what a linked node was told, as its link is lost or new.
	*/
	readonly removeLink: (node: string) => void;
};

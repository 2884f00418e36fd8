import type {LoadNews} from '@valvesaddle/selection';
import type {OriginNews} from './origin-news.ts';

/**
Keeps what a node has to pass on of its own and others' work.
*/
export type NewsRelay = {
	readonly addOwn: (news: LoadNews) => void;
	/**
	Takes in news of a node that is linked to this one alone.
	*/
	readonly addMember: (news: OriginNews) => void;
	/**
	Takes in news of another relay, for all its members.
	*/
	readonly addGroup: (news: OriginNews) => void;
	/**
	Forgets a node or relay that is no longer heard.
	*/
	readonly removeOrigin: (origin: string) => void;
	/**
	What other relays are to be told since the last call: one sum for the node and its members.
	*/
	readonly takeForRelays: () => OriginNews | undefined;
	/**
	What members are to be told since the last call.
	*/
	readonly takeForMembers: () => readonly OriginNews[];
	/**
	The same in full, for one that has just been linked.
	*/
	readonly listForRelay: () => OriginNews;
	readonly listForMember: () => readonly OriginNews[];
};

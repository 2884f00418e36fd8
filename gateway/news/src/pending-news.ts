import type {OriginNews} from './origin-news.ts';

/**
News that one link still has to carry.
*/
export type PendingNews = {
	readonly add: (news: OriginNews) => void;
	/**
	Takes back all that was told of an origin.
	*/
	readonly removeOrigin: (origin: string) => void;
	/**
	All that was added since the last call.
	*/
	readonly take: () => readonly OriginNews[];
};

import type {PeerNetwork} from '@valvesaddle/network';
import {createNewsRelay, type OriginNews} from '@valvesaddle/news';
import type {Selector} from '@valvesaddle/selection';
import {bundleSchema} from './bundle-schema.ts';
import type {LinkPlan} from './link-plan.ts';
import {newsSchema} from './news-schema.ts';
import type {NewsSync} from './news-sync.ts';

/**
Options of `createNewsSync`.
*/
type NewsSyncOptions = {
	readonly node: string;
	readonly network: PeerNetwork;
	readonly links: LinkPlan;
	readonly selector: Selector;
	/**
	Nodes of the fleet that are known.
	*/
	readonly countNodes: () => number;
};

type Origin = {
	readonly nodes: number;
	/**
	Node that told of it.
	*/
	readonly via: string;
};

/**
 Creates the exchange of work with peers: each node tells its own to the relays that it is linked to, relays pass it on.

 @example
 const news = createNewsSync({node: 'n1', network, links, selector, countNodes: () => 84});
 news.send();
 */
export function createNewsSync({node: self, network, links, selector, countNodes}: NewsSyncOptions): NewsSync {
	const relay = createNewsRelay({node: self});
	const origins = new Map<string, Origin>();

	function updateUnseen(): void {
		const heard = origins.values().reduce((sum, {nodes}) => sum + nodes, 1);
		selector.setUnseenFactor(Math.max(1, countNodes() / heard));
	}

	function applyNews(news: OriginNews, via: string): void {
		if (news.origin === self) {
			return;
		}

		if (news.nodes === 0) {
			removeOrigin(news.origin);
			return;
		}

		origins.set(news.origin, {nodes: news.nodes, via});
		selector.applyNews(news.origin, news);
	}

	function removeOrigin(origin: string): void {
		origins.delete(origin);
		selector.removeNode(origin);
		relay.removeOrigin(origin);
	}

	function sendToRelay(node: string): void {
		const news = relay.takeForRelay(node);
		if (news !== undefined) {
			network.notify(node, 'load.news', news);
		}
	}

	function sendToMember(node: string): void {
		const bundle = relay.takeForMember(node);
		if (bundle.length > 0) {
			network.notify(node, 'load.bundle', bundle);
		}
	}

	return {
		send() {
			updateUnseen();
			const own = selector.takeNews();
			if (own !== undefined) {
				relay.addOwn(own);
			}

			// What waits in a full link would keep newer changes of the configuration behind it.
			const relays = links.listRelays().filter(node => network.isReady(node));
			const members = links.listMembers().filter(node => network.isReady(node));
			for (const node of relays) {
				sendToRelay(node);
			}

			for (const node of members) {
				sendToMember(node);
			}
		},
		introduce(node) {
			relay.removeLink(node);
			sendToRelay(node);
			if (links.isRelay(self) && !links.isRelay(node)) {
				sendToMember(node);
			}
		},
		applyNews(parameters, node) {
			const news = {...newsSchema.parse(parameters), origin: node};
			applyNews(news, node);
			if (links.isRelay(node)) {
				relay.addGroup(news);
			} else {
				relay.addMember(news);
			}
		},
		applyBundle(parameters, node) {
			for (const news of bundleSchema.parse(parameters)) {
				applyNews(news, node);
			}
		},
		removeLink(node) {
			relay.removeLink(node);
			for (const [origin, {via}] of origins) {
				if (via === node) {
					removeOrigin(origin);
				}
			}
		},
	};
}

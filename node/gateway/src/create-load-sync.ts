import type {PeerNetwork} from '@valvesaddle/network';
import {createNewsRelay, type OriginNews} from '@valvesaddle/news';
import type {Selector} from '@valvesaddle/selection';
import {formatLoadUpdate} from './format-load-update.ts';
import type {LinkPlan} from './link-plan.ts';
import {parseLoadUpdate} from './parse-load-update.ts';
import type {LoadSync} from './load-sync.ts';

/**
Options of `createNewsSync`.
*/
type LoadSyncOptions = {
	readonly node: string;
	readonly network: Pick<PeerNetwork, 'isReady' | 'notify'>;
	readonly links: Pick<LinkPlan, 'isRelay' | 'listRelays' | 'listMembers'>;
	readonly selector: Pick<Selector, 'takeNews' | 'applyNews' | 'setUnseenFactor' | 'removeNode'>;
	/**
	Nodes of the fleet that are known.
	*/
	readonly countNodes: () => number;
};

/**
 Creates the exchange of work with peers: each node tells its own to the relays that it is linked to, relays pass it on.

 @example
 const news = createNewsSync({node: 'n1', network, links, selector, countNodes: () => 84});
 news.send(true);
 */
export function createLoadSync({node: self, network, links, selector, countNodes}: LoadSyncOptions): LoadSync {
	const relay = createNewsRelay({node: self});
	/**
	Nodes that each linked node's news stand for.
	*/
	const origins = new Map<string, number>();

	function updateUnseen(): void {
		const heard = origins.values().reduce((sum, nodes) => sum + nodes, 1);
		selector.setUnseenFactor(Math.max(1, countNodes() / heard));
	}

	/**
	Sends news to a node; `false` when there are none.
	*/
	function wasSent(node: string, news: OriginNews | undefined): boolean {
		if (news === undefined) {
			return false;
		}

		network.notify(node, 'load.news', formatLoadUpdate(news));
		return true;
	}

	return {
		send(isMembersTurn) {
			updateUnseen();
			const own = selector.takeNews();
			if (own !== undefined) {
				relay.addOwn(own);
			}

			// What waits in a full link would keep newer changes of the configuration behind it.
			const relays = links.listRelays().filter(node => network.isReady(node));
			const members = isMembersTurn ? links.listMembers().filter(node => network.isReady(node)) : [];
			const toldRelays = relays.filter(node => wasSent(node, relay.takeForRelay(node)));
			const toldMembers = members.filter(node => wasSent(node, relay.takeForMember(node)));
			return toldRelays.length + toldMembers.length > 0;
		},
		sendFull(node) {
			relay.removeLink(node);
			const isMember = links.isRelay(self) && !links.isRelay(node);
			wasSent(node, isMember ? relay.takeForMember(node) : relay.takeForRelay(node));
		},
		applyLoadUpdate(parameters, node) {
			const news: OriginNews = {...parseLoadUpdate(parameters), origin: node};
			origins.set(node, news.nodes);
			const current = {...news, ...selector.applyNews(node, news)};
			if (!links.isRelay(node)) {
				relay.addMember(current);
			} else if (links.isRelay(self)) {
				// A member passes nothing on; once it is a relay, the others tell it all.
				relay.addGroup(current);
			}
		},
		removeEndpoint: relay.removeEndpoint,
		removeLink(node) {
			relay.removeLink(node);
			origins.delete(node);
			selector.removeNode(node);
			relay.removeOrigin(node);
		},
	};
}

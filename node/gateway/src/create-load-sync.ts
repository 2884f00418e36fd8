import type {DemandTable, PoolDemand} from '@valvesaddle/demand';
import type {PeerNetwork} from '@valvesaddle/network';
import {createLoadAggregator, type OriginLoadUpdate} from '@valvesaddle/news';
import type {Selector} from '@valvesaddle/selection';
import {formatDemands} from './format-demands.ts';
import {formatLoadUpdate} from './format-load-update.ts';
import type {LinkPlan} from './link-plan.ts';
import {parseDemands} from './parse-demands.ts';
import {parseLoadUpdate} from './parse-load-update.ts';
import type {LoadSync} from './load-sync.ts';

/**
Options of `createLoadSync`.
*/
type LoadSyncOptions = {
	readonly node: string;
	readonly network: Pick<PeerNetwork, 'isReady' | 'notify'>;
	readonly links: Pick<LinkPlan, 'isRelay' | 'listRelays' | 'listMembers'>;
	readonly selector: Pick<Selector, 'takeLoadUpdate' | 'applyLoadUpdate' | 'setUnseenFactor' | 'removeNode'>;
	/**
	Number of known nodes in the fleet.
	*/
	readonly countNodes: () => number;
	/**
	Set when pools are shared by demand.
	*/
	readonly demandTable?: DemandTable | undefined;
};

/**
 Creates the exchange of load updates with peers: each node sends its own load to the relays that it is linked to, which forward it.

 @example
 const loadSync = createLoadSync({node: 'n1', network, links, selector, countNodes: () => 84});
 loadSync.send(true);
 */
export function createLoadSync({node: self, network, links, selector, countNodes, demandTable}: LoadSyncOptions): LoadSync {
	const aggregator = createLoadAggregator({node: self});
	/**
	Number of nodes whose load each linked node reports.
	*/
	const nodeCounts = new Map<string, number>();

	function updateUnseenFactor(): void {
		const reported = nodeCounts.values().reduce((sum, nodes) => sum + nodes, 1);
		selector.setUnseenFactor(Math.max(1, countNodes() / reported));
	}

	/**
	Sends an update to a node; `false` if there is none.
	*/
	function wasSent(node: string, update: OriginLoadUpdate | undefined, takeDemands: (node: string) => readonly PoolDemand[] | undefined = () => undefined): boolean {
		if (update === undefined) {
			return false;
		}

		const demands = takeDemands(node);
		network.notify(node, 'load.news', {...formatLoadUpdate(update), ...(demands !== undefined && {demands: formatDemands(demands)})});
		return true;
	}

	return {
		send(isMemberInterval, readAt) {
			updateUnseenFactor();
			const own = selector.takeLoadUpdate(readAt);
			if (own !== undefined) {
				aggregator.addOwn(own);
			}

			// Updates that queue on a congested link would delay configuration changes behind them.
			const relays = links.listRelays().filter(node => network.isReady(node));
			const members = isMemberInterval ? links.listMembers().filter(node => network.isReady(node)) : [];
			const updatedRelays = relays.filter(node => wasSent(node, aggregator.takeForRelay(node), demandTable?.takeForRelay));
			const updatedMembers = members.filter(node => wasSent(node, aggregator.takeForMember(node), demandTable?.takeForMember));
			return updatedRelays.length + updatedMembers.length > 0;
		},
		sendFull(node) {
			aggregator.removeLink(node);
			demandTable?.resetLink(node);
			const isMember = links.isRelay(self) && !links.isRelay(node);
			wasSent(node, isMember ? aggregator.takeForMember(node) : aggregator.takeForRelay(node));
		},
		applyLoadUpdate(parameters, node) {
			const update: OriginLoadUpdate = {...parseLoadUpdate(parameters), origin: node};
			nodeCounts.set(node, update.nodes);
			demandTable?.apply({
				origin: node, nodes: update.nodes, isMember: !links.isRelay(node), ...parseDemands(parameters),
			});
			const current = {...update, ...selector.applyLoadUpdate(node, update)};
			if (!links.isRelay(node)) {
				aggregator.addMember(current);
			} else if (links.isRelay(self)) {
				// Members don't forward; when one becomes a relay, the other relays send it their full load.
				aggregator.addGroup(current);
			}
		},
		removeEndpoint: aggregator.removeEndpoint,
		removeLink(node) {
			aggregator.removeLink(node);
			demandTable?.removeLink(node);
			nodeCounts.delete(node);
			selector.removeNode(node);
			aggregator.removeOrigin(node);
		},
	};
}

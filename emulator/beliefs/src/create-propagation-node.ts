import {createClusterView, createStoreFollower} from '@valvesaddle/cluster-view';
import {createPeerSync} from '@valvesaddle/gateway';
import type {ClusterStore, GatewayNode} from '@valvesaddle/gateway-types';
import type {Logger} from '@valvesaddle/logger';
import {createMetrics} from '@valvesaddle/metrics';
import type {PeerHandlers} from '@valvesaddle/network';
import {createSelector, type LoadUpdate} from '@valvesaddle/selection';
import type {GatewaySettings} from '@valvesaddle/settings';
import {createEmulatedNetwork} from './create-emulated-network.ts';
import type {LinkHub} from './link-hub.ts';
import type {PropagationNode} from './propagation-node.ts';

type PropagationNodeOptions = {
	readonly self: GatewayNode;
	readonly store: ClusterStore;
	readonly hub: LinkHub;
	readonly settings: Pick<GatewaySettings, 'store' | 'peers'>;
	readonly logger: Logger;
	/**
	Supplies the load updates of the node; none if omitted.
	*/
	readonly takeLoadUpdate?: () => LoadUpdate;
	/**
	Whether the node currently never answers calls for its cluster state.
	*/
	readonly isStateUnanswered: () => boolean;
};

const stateMethod = 'cluster.state';

/**
 Creates an emulated node from the packages of the gateway.

 @example
 const node = createPropagationNode({self, store, hub, settings, logger, isStateUnanswered: () => false});
 node.start();
 */
export function createPropagationNode({self, store, hub, settings, logger, takeLoadUpdate, isStateUnanswered}: PropagationNodeOptions): PropagationNode {
	const metrics = createMetrics();
	const view = createClusterView({logger, metrics});
	const follower = createStoreFollower({
		store,
		view,
		self,
		watchMs: settings.store.watch_ms,
		gatherMs: settings.store.gather_ms,
		settleMs: settings.store.settle_ms,
		retryMs: settings.store.retry_ms,
		leaseMs: settings.store.lease_ms,
		renewMs: settings.store.renew_ms,
		removalGraceMs: settings.store.lapse_grace_ms,
		isFollower: () => sync.isFollower(),
		isNeeded: () => sync.isStoreNeeded(),
		logger,
		metrics,
	});
	const network = createEmulatedNetwork({
		self,
		hub,
		findAddress: id => view.nodes().find(node => node.id === id)?.address,
		linkTimeoutMs: settings.peers.silence_ms,
		metrics,
	});
	// Only exchanges load updates; no endpoint is selected.
	const selector = createSelector({
		interferenceWeight: 0, riskWeight: 0, reuseMs: 1, rereadMsPerToken: 0, prefillTokensPerMs: 1,
	});
	const {sync, handlers} = createPeerSync({
		self,
		network,
		view,
		follower,
		selector: takeLoadUpdate === undefined ? selector : {...selector, takeLoadUpdate},
		loadUpdateMs: settings.peers.news_ms,
		hasOpenRequests: () => true,
		heartbeatMs: settings.peers.heartbeat_ms,
		meshNodes: settings.peers.mesh_nodes,
		suspectMs: settings.peers.suspect_ms,
		logger,
		metrics,
	});

	return {
		self,
		view,
		metrics,
		start() {
			void network.listen(withUnansweredState(handlers, isStateUnanswered));
			follower.start();
			sync.start();
		},
		close() {
			sync.close();
			void follower.close();
			void network.close();
			view.close();
		},
	};
}

function withUnansweredState(handlers: PeerHandlers, isStateUnanswered: () => boolean): PeerHandlers {
	const answerState = handlers[stateMethod]!;
	return {
		...handlers,
		[stateMethod]: async (parameters, peer) => isStateUnanswered() ? Promise.withResolvers<never>().promise : answerState(parameters, peer),
	};
}

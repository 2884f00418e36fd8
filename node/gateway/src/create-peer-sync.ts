import {setTimeout as wait} from 'node:timers/promises';
import {measureFleet} from '@valvesaddle/cluster-view';
import {formatIncarnation} from '@valvesaddle/selection';
import {measureTick} from '@valvesaddle/ticks';
import {createClusterSync} from './create-cluster-sync.ts';
import {createLinkPlan} from './create-link-plan.ts';
import {createLoadSync} from './create-load-sync.ts';
import {createUsageSync} from './create-usage-sync.ts';
import type {PeerSync} from './peer-sync.ts';
import type {PeerSyncOptions} from './peer-sync-options.ts';

type Handlers = Readonly<Record<string, (parameters: unknown, node: string) => unknown>>;

/**
Most that the pause between messages on work grows with the fleet, between relays and for a member: news must stay younger than a short
stream.
*/
const longestRelayFactor = 6;
const longestMemberFactor = 12;
/**
A member of a large fleet tells its relay of a request that it has placed within this time, in milliseconds, and of all else in its
turn: what others do not know of yet, they place elsewhere.
*/
const placedMs = 30;
/**
Heartbeats that may be missed before a link counts as silent, or a confirmation of the store as too old.
*/
const missedHeartbeats = 6;

/**
 Creates the exchange of beliefs and work with peers, and the handlers for their messages.

 @example
 const {sync, handlers} = createPeerSync(options);
 await network.listen(handlers);
 sync.start();
 */
export function createPeerSync(options: PeerSyncOptions): {readonly sync: PeerSync; readonly handlers: Handlers} {
	const {self, network, view, follower, selector, heartbeatMs, logger, metrics} = options;
	const closing = new AbortController();
	const silenceMs = missedHeartbeats * heartbeatMs;
	/**
	Factor on the pause between messages on work since the last one with anything in it.
	*/
	let quietFactor = 1;
	let membersToldAt = -Infinity;
	let placedTimer: NodeJS.Timeout | undefined;
	const links = createLinkPlan({
		self, network, view, meshNodes: options.meshNodes, linkTimeoutMs: silenceMs, suspectMs: options.suspectMs, logger,
		sendFullState(node) {
			news.sendFull(node);
		},
	});
	const news = createLoadSync({
		node: self.id, network, links, selector, countNodes: () => view.nodes().length,
	});
	const usage = options.usage && createUsageSync({
		node: self.id, network, links, ...options.usage,
	});
	const beliefs = createClusterSync({
		node: self.id, network, links, view, follower, confirmMs: silenceMs, logger, metrics,
	});

	/**
	With nothing open and nothing to tell, a node wakes up less and less often.
	*/
	function measureNewsPause(): number {
		const usualMs = measureUsualPause(links.isRelay(self.id) ? longestRelayFactor : longestMemberFactor);
		const pauseMs = Math.max(usualMs, Math.min(heartbeatMs, quietFactor * usualMs));
		// Told together with heartbeats, they cost no wake-up of their own.
		return heartbeatMs / Math.max(1, Math.round(heartbeatMs / pauseMs));
	}

	function measureUsualPause(longestFactor: number): number {
		return options.loadUpdateMs * Math.min(longestFactor, measureFleet(view.nodes().length));
	}

	function sendNews(): void {
		const now = performance.now();
		// A turn that is nearly due is taken now: the next one would be late by a whole pause of the relays.
		const isMembersTurn = now - membersToldAt >= measureUsualPause(longestMemberFactor) - (measureUsualPause(longestRelayFactor) / 2);
		membersToldAt = isMembersTurn ? now : membersToldAt;
		const wasTold = news.send(isMembersTurn);
		quietFactor = wasTold || options.hasOpenRequests() ? 1 : quietFactor * 2;
	}

	/**
	Relays tell soon enough in their turns.
	*/
	function sendPlaced(): void {
		if (links.isRelay(self.id) || measureUsualPause(longestMemberFactor) <= placedMs) {
			return;
		}

		placedTimer ??= setTimeout(() => {
			placedTimer = undefined;
			news.send(false);
		}, placedMs).unref();
	}

	async function runRepeatedly(measurePause: () => number, step: () => void): Promise<void> {
		while (!closing.signal.aborted) {
			step();
			// eslint-disable-next-line no-await-in-loop -- one step after the other
			await wait(measureTick(measurePause()), undefined, {ref: false});
		}
	}

	/**
	Hears a message: whatever it says, its sender was alive when it was sent.
	*/
	function withSign(handle: (parameters: unknown, node: string) => unknown): Handlers[string] {
		return (parameters, node) => {
			links.markSeen(node, performance.now() - beliefs.getDelay(node));
			return handle(parameters, node);
		};
	}

	view.events.on('incarnation', ({data: {before}}) => {
		news.removeEndpoint(formatIncarnation(before));
	});
	view.events.on('endpointRemoved', ({data: {endpoint}}) => {
		news.removeEndpoint(formatIncarnation(endpoint));
	});
	network.events.on('lost', ({data: {node}}) => {
		news.removeLink(node);
		links.markLost(node);
		logger.info({name: 'peer-state', peer: node, reachable: false});
	});
	network.events.on('found', ({data: {node}}) => {
		logger.info({name: 'peer-state', peer: node, reachable: true});
		news.sendFull(node);
		usage?.sendFull(node);
		beliefs.sendHeartbeat();
	});

	return {
		sync: {
			start() {
				void runRepeatedly(() => heartbeatMs, () => {
					// Planned by a part of a fleet that is starting, hundreds of links would go to the few that are known.
					if (follower.hasSettled()) {
						links.update();
					}

					beliefs.sendHeartbeat();
					usage?.send();
				});
				void runRepeatedly(measureNewsPause, sendNews);
			},
			isCurrent: beliefs.isCurrent,
			isStoreNeeded: beliefs.isStoreNeeded,
			isFollower: links.isFollower,
			usage,
			sendPlacements: sendPlaced,
			close() {
				closing.abort();
				clearTimeout(placedTimer);
			},
		},
		handlers: {
			'load.news': withSign(news.applyLoadUpdate),
			'usage.rows': withSign((parameters, node) => usage?.apply(parameters, node)),
			'cluster.heartbeat': withSign(beliefs.applyHeartbeat),
			'cluster.changes': withSign(beliefs.applyChanges),
			'cluster.state': withSign(beliefs.exportState),
		},
	};
}

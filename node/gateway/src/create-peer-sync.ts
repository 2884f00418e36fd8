import {setImmediate as waitForTurn, setTimeout as wait} from 'node:timers/promises';
import {measureFleetFactor} from '@valvesaddle/cluster-view';
import {rankByHash} from '@valvesaddle/ranking';
import {formatIncarnation} from '@valvesaddle/selection';
import {measureTick} from '@valvesaddle/ticks';
import {createClusterSync} from './create-cluster-sync.ts';
import {createLinkPlan} from './create-link-plan.ts';
import {createLoadSync} from './create-load-sync.ts';
import {createLoadUpdateHandler} from './create-load-update-handler.ts';
import {createLoopMonitor} from './create-loop-monitor.ts';
import {createQuarantineSync} from './create-quarantine-sync.ts';
import {createUsageSync} from './create-usage-sync.ts';
import type {PeerSync} from './peer-sync.ts';
import type {PeerSyncOptions} from './peer-sync-options.ts';

type Handlers = Readonly<Record<string, (parameters: unknown, node: string) => unknown>>;

/**
Limits on how far the load update interval grows with the fleet, between relays and for members: updates must arrive within the
duration of a short stream.
*/
const maximumRelayFactor = 6;
const maximumMemberFactor = 12;
/**
Delay after which a member of a large fleet sends a new placement to its relay, in milliseconds. Other nodes route the same prompt
prefix elsewhere until they receive it, so it doesn't wait for the next interval.
*/
const placementDelayMs = 30;
/**
Heartbeats that may be missed before a link times out, or a confirmation of the store counts as too old.
*/
const allowedMissedHeartbeats = 6;

/**
 Creates the exchange of cluster state and load with peers, and the handlers for their messages.

 @example
 const {sync, handlers} = createPeerSync(options);
 await network.listen(handlers);
 sync.start();
 */
export function createPeerSync(options: PeerSyncOptions): {readonly sync: PeerSync; readonly handlers: Handlers} {
	const {self, network, view, follower, selector, heartbeatMs, logger, metrics} = options;
	const closing = new AbortController();
	const linkTimeoutMs = allowedMissedHeartbeats * heartbeatMs;
	/**
	Factor on the load update interval; it doubles while there is nothing to send and no request is open.
	*/
	let idleFactor = 1;
	let membersSentAt = -Infinity;
	let placementTimer: NodeJS.Timeout | undefined;
	const loopMonitor = createLoopMonitor({periodMs: heartbeatMs, logger, metrics});
	const links = createLinkPlan({
		self, network, view, meshNodes: options.meshNodes, linkTimeoutMs, suspectMs: options.suspectMs, logger,
		sendFullState(node) {
			loadSync.sendFull(node);
		},
	});
	const loadSync = createLoadSync({
		node: self.id, network, links, selector, countNodes: () => view.nodes().length, demandTable: options.demandTable,
	});
	const usage = options.usage && createUsageSync({
		node: self.id, network, links, ...options.usage,
	});
	const quarantineSync = createQuarantineSync({
		network, isTrialNode: digest => rankByHash(digest, [...view.nodes().map(({id}) => id), self.id])[0] === self.id, logger, metrics,
	});
	const clusterSync = createClusterSync({
		node: self.id, network, links, view, follower, confirmMs: linkTimeoutMs, logger, metrics,
	});

	/**
	The interval of an idle node grows up to that of heartbeats, so that it wakes up less often.
	*/
	function measureLoadUpdateInterval(): number {
		const baseMs = measureBaseInterval(links.isRelay(self.id) ? maximumRelayFactor : maximumMemberFactor);
		const intervalMs = Math.max(baseMs, Math.min(heartbeatMs, idleFactor * baseMs));
		// A fraction of the heartbeat interval, so that an idle node wakes up once for both.
		return heartbeatMs / Math.max(1, Math.round(heartbeatMs / intervalMs));
	}

	function measureBaseInterval(maximumFactor: number): number {
		return options.loadUpdateMs * Math.min(maximumFactor, measureFleetFactor(view.nodes().length));
	}

	function sendLoadUpdates(readAt: number): void {
		const now = performance.now();
		// A member interval that is nearly due starts now, or it would be late by a whole relay interval.
		const isMemberInterval = now - membersSentAt >= measureBaseInterval(maximumMemberFactor) - (measureBaseInterval(maximumRelayFactor) / 2);
		membersSentAt = isMemberInterval ? now : membersSentAt;
		const wasSent = loadSync.send(isMemberInterval, readAt);
		idleFactor = wasSent || options.hasOpenRequests() ? 1 : idleFactor * 2;
	}

	/**
	Relays, and members of a small fleet, send placements soon enough with their load updates.
	*/
	function sendPlacements(): void {
		if (links.isRelay(self.id) || measureBaseInterval(maximumMemberFactor) <= placementDelayMs) {
			return;
		}

		placementTimer ??= setTimeout(() => {
			placementTimer = undefined;
			void runAfterTurn(readAt => {
				loadSync.send(false, readAt);
			});
		}, placementDelayMs).unref();
	}

	/**
	Runs a step after a turn of the event loop, with the time before the turn: all that had arrived by then has been read. Timers run
	before sockets are read, so after the event loop was blocked the endpoints would count as stalled whose chunks have arrived.
	*/
	async function runAfterTurn(step: (readAt: number) => void): Promise<void> {
		const readAt = performance.now();
		await waitForTurn(undefined, {ref: false});
		if (!closing.signal.aborted) {
			step(readAt);
		}
	}

	async function runRepeatedly(measureInterval: () => number, step: () => void | Promise<void>): Promise<void> {
		while (!closing.signal.aborted) {
			// eslint-disable-next-line no-await-in-loop -- one step after the other
			await step();
			// eslint-disable-next-line no-await-in-loop -- one step after the other
			await wait(measureTick(measureInterval()), undefined, {ref: false});
		}
	}

	/**
	Marks the sender as live when the message was sent, then handles the message.
	*/
	function withLastSeen(handle: (parameters: unknown, node: string) => unknown): Handlers[string] {
		return (parameters, node) => {
			links.markSeen(node, performance.now() - clusterSync.getDelay(node));
			return handle(parameters, node);
		};
	}

	view.events.on('incarnation', ({data: {before}}) => {
		loadSync.removeEndpoint(formatIncarnation(before));
	});
	view.events.on('endpointRemoved', ({data: {endpoint}}) => {
		loadSync.removeEndpoint(formatIncarnation(endpoint));
	});
	network.events.on('lost', ({data: {node}}) => {
		loadSync.removeLink(node);
		quarantineSync.removeLink(node);
		links.markLost(node);
		logger.info({name: 'peer-state', peer: node, reachable: false});
	});
	network.events.on('found', ({data: {node}}) => {
		logger.info({name: 'peer-state', peer: node, reachable: true});
		loadSync.sendFull(node);
		usage?.sendFull(node);
		quarantineSync.sendFull(node);
		clusterSync.sendHeartbeat();
	});

	return {
		sync: {
			start() {
				void runRepeatedly(() => heartbeatMs, () => {
					loopMonitor.recordTick();
					// Before all nodes are known, a plan would open hundreds of links to a few nodes.
					if (follower.hasSettled()) {
						links.update();
					}

					clusterSync.sendHeartbeat();
					usage?.send();
				});
				void runRepeatedly(measureLoadUpdateInterval, async () => runAfterTurn(sendLoadUpdates));
			},
			isCurrent: clusterSync.isCurrent,
			isStoreNeeded: clusterSync.isStoreNeeded,
			isFollower: links.isFollower,
			isDutyCandidate: () => links.isPlanned() && links.isFollower(),
			usage,
			quarantine: quarantineSync.quarantine,
			sendPlacements,
			close() {
				closing.abort();
				clearTimeout(placementTimer);
				quarantineSync.close();
			},
		},
		handlers: {
			'load.news': withLastSeen(createLoadUpdateHandler({loadSync, logger})),
			'usage.rows': withLastSeen((parameters, node) => usage?.apply(parameters, node)),
			'quarantine.rows': withLastSeen(quarantineSync.apply),
			'cluster.heartbeat': withLastSeen(clusterSync.applyHeartbeat),
			'cluster.changes': withLastSeen(clusterSync.applyChanges),
			'cluster.state': withLastSeen(clusterSync.exportState),
		},
	};
}

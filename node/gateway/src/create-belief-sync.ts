import type {ClusterView, StoreFollower} from '@valvesaddle/cluster-view';
import type {Logger} from '@valvesaddle/logger';
import type {Metrics} from '@valvesaddle/metrics';
import type {PeerNetwork} from '@valvesaddle/network';
import type {BeliefSync} from './belief-sync.ts';
import {changesSchema} from './changes-schema.ts';
import {clusterStateSchema} from './cluster-state-schema.ts';
import {createDelayMeter} from './create-delay-meter.ts';
import {heartbeatSchema} from './heartbeat-schema.ts';
import type {LinkPlan} from './link-plan.ts';

/**
Options of `createBeliefSync`.
*/
type BeliefSyncOptions = {
	readonly network: PeerNetwork;
	readonly links: LinkPlan;
	readonly view: ClusterView;
	readonly follower: Pick<StoreFollower, 'isSteady'>;
	/**
	Age of the last confirmation from the store, in milliseconds, over which a node trusts no peer and asks the store itself.
	*/
	readonly confirmMs: number;
	readonly logger: Logger;
	readonly metrics: Metrics;
};

/**
Age that stands for a confirmation that never was, in milliseconds.
*/
const neverMs = 1e9;
/**
Stands for the version of a configuration that is not known.
*/
const noVersion = -1;

type Heartbeat = {
	readonly revision: number;
	readonly version: number;
	readonly confirmedAgoMs: number;
};

/**
 Creates the exchange of beliefs with peers. Followers of the store pass changes on as they come; a node that has missed
 some asks the peer whose heartbeat shows a higher revision. A node that the store refuses thus stays up to date.

 @example
 const beliefs = createBeliefSync(options);
 beliefs.sendHeartbeat();
 beliefs.isStoreNeeded();
 */
export function createBeliefSync(options: BeliefSyncOptions): BeliefSync {
	const {network, links, view, follower, logger, metrics} = options;
	let isAsking = false;
	let isFollowing = true;
	let confirmedAt = -Infinity;
	let heardVersion = noVersion;
	/**
	When this node's configuration was last the newest that it had heard of, on the steady clock.
	*/
	let currentAt = performance.now();
	let lastAhead = '';
	const delays = createDelayMeter();
	/**
	Peers whose messages come late.
	*/
	const latePeers = new Set<string>();

	function measureAge(): number {
		if (follower.isSteady()) {
			confirmedAt = performance.now();
		}

		return Math.min(neverMs, Math.round(performance.now() - confirmedAt));
	}

	function isConfirmed(): boolean {
		return measureAge() <= options.confirmMs;
	}

	/**
	A peer at the same revision also helps out: it knows whether what this node keeps as lapsed was removed.
	*/
	function isBehind(peerRevision: number): boolean {
		return peerRevision > view.revision() || (view.hasLapsed() && peerRevision === view.revision());
	}

	function getVersion(): number {
		return view.configuration()?.version ?? noVersion;
	}

	/**
	How far this node's configuration is behind the newest that it has heard of, and since when.
	*/
	function recordHeard(version: number): void {
		const now = performance.now();
		heardVersion = Math.max(heardVersion, version);
		if (getVersion() >= heardVersion) {
			currentAt = now;
		}

		metrics.gauge('gateway.configuration-version', getVersion());
		metrics.gauge('gateway.configuration-heard', heardVersion);
		metrics.gauge('gateway.configuration-behind-ms', Math.round(now - currentAt));
	}

	function recordDelay(node: string, delayMs: number): void {
		metrics.timing('peer.delay', delayMs);
		const isLate = delayMs > options.confirmMs / 2;
		if (isLate === latePeers.has(node)) {
			return;
		}

		if (isLate) {
			latePeers.add(node);
		} else {
			latePeers.delete(node);
		}

		logger.info({
			name: 'peer-late', peer: node, isLate, delayMs: Math.round(delayMs),
		});
	}

	/**
	One line for each step taken about a peer that is ahead; heartbeats that bring nothing new write none.
	*/
	function recordAhead(node: string, {revision, version, confirmedAgoMs}: Heartbeat): void {
		const step = chooseStep(confirmedAgoMs);
		const fact = [node, revision, view.revision(), version, getVersion(), step].join(' ');
		if (fact === lastAhead) {
			return;
		}

		lastAhead = fact;
		logger.info({
			name: 'peer-ahead', peer: node, peerRevision: revision, revision: view.revision(), peerVersion: version, version: getVersion(), confirmedAgoMs, step,
		});
	}

	function chooseStep(confirmedAgoMs: number): string {
		if (isAsking) {
			return 'wait for an answer';
		}

		return confirmedAgoMs <= options.confirmMs ? 'ask' : 'leave, not confirmed';
	}

	async function askState(node: string): Promise<void> {
		const startedAt = performance.now();
		isAsking = true;
		const answered = await network.call(node, 'cluster.state', {});
		isAsking = false;
		answered.match(state => {
			const parsed = clusterStateSchema.safeParse(state);
			if (!parsed.success) {
				logger.warn({
					name: 'peer-state', peer: node, reachable: true, reason: `its state cannot be read: ${parsed.error.message}`,
				});
				return;
			}

			metrics.increment('gateway.states-from-peers');
			logger.info({
				name: 'peer-state-taken', peer: node, peerRevision: parsed.data.revision, peerVersion: parsed.data.configuration?.version ?? noVersion,
				elapsedMs: Math.round(performance.now() - startedAt),
			});
			view.importState(parsed.data);
		}, error => {
			logger.info({
				name: 'peer-state', peer: node, reachable: false, reason: error.message,
			});
		});
	}

	network.events.on('lost', ({data: {node}}) => {
		latePeers.delete(node);
	});
	view.events.on('nodeRemoved', ({data: {id}}) => {
		delays.remove(id);
	});
	view.events.on('advanced', ({data: {after, changes, source}}) => {
		const isOwn = source === 'store';
		if (links.isMesh() || (isOwn && !follower.isSteady())) {
			return;
		}

		network.broadcast('cluster.changes', {after, changes}, isOwn ? [...links.listRelays(), ...links.listMembers()] : links.listMembers());
	});

	return {
		sendHeartbeat() {
			network.broadcast('cluster.heartbeat', {
				revision: view.revision(), version: getVersion(), confirmedAgoMs: measureAge(), sentAt: performance.now(),
			});
		},
		applyHeartbeat(parameters, node) {
			const heartbeat = heartbeatSchema.parse(parameters);
			const {revision, version, confirmedAgoMs, sentAt} = heartbeat;
			const delayMs = sentAt === undefined ? 0 : delays.measure(node, sentAt);
			recordDelay(node, delayMs);
			recordHeard(version);
			if (isBehind(revision) || version > getVersion()) {
				recordAhead(node, heartbeat);
			}

			// What waited on its way says nothing of the time since it was sent.
			const ageMs = confirmedAgoMs + delayMs;
			confirmedAt = Math.max(confirmedAt, performance.now() - ageMs);
			if (!isAsking && ageMs <= options.confirmMs && isBehind(revision)) {
				void askState(node);
			}
		},
		applyChanges(parameters, node) {
			const {after, changes} = changesSchema.parse(parameters);
			if (after <= view.revision()) {
				view.applyChanges(changes, 'peer');
			} else if (!isAsking) {
				void askState(node);
			}
		},
		getDelay: delays.get,
		exportState: () => view.exportState(isConfirmed()),
		isStoreNeeded() {
			const isNeeded = links.isMesh() || links.isFollower() || !isConfirmed();
			if (isNeeded !== isFollowing) {
				isFollowing = isNeeded;
				logger.info({name: 'store-following', isFollowing, confirmedAgoMs: measureAge()});
			}

			return isNeeded;
		},
	};
}

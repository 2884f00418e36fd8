import type {ClusterView, StoreFollower} from '@valvesaddle/cluster-view';
import type {Logger} from '@valvesaddle/logger';
import type {Metrics} from '@valvesaddle/metrics';
import type {PeerNetwork} from '@valvesaddle/network';
import type {ClusterSync} from './cluster-sync.ts';
import {changesSchema} from './changes-schema.ts';
import {createConfirmationTable} from './create-confirmation-table.ts';
import {createDelayMeter} from './create-delay-meter.ts';
import {createStateFetcher} from './create-state-fetcher.ts';
import {createVersionWatch} from './create-version-watch.ts';
import {heartbeatSchema} from './heartbeat-schema.ts';
import type {LinkPlan} from './link-plan.ts';
import {stateRequestSchema} from './state-request-schema.ts';

/**
Options of `createClusterSync`.
*/
type ClusterSyncOptions = {
	readonly node: string;
	readonly network: PeerNetwork;
	readonly links: LinkPlan;
	readonly view: ClusterView;
	readonly follower: Pick<StoreFollower, 'isSteady'>;
	/**
	Age of the last confirmation from the store, in milliseconds, above which a node stops relying on peers and watches the store itself.
	*/
	readonly confirmMs: number;
	readonly logger: Logger;
	readonly metrics: Metrics;
};

/**
Longest delay between two state reads for a digest that still differs, in milliseconds.
*/
const maximumCompareDelayMs = 60_000;
/**
Contents of a peer's heartbeat; `ageMs` is the age of its last confirmation from the store, in milliseconds.
*/
type PeerHeartbeat = {
	readonly revision: number;
	readonly digest: number | undefined;
	readonly version: number;
	readonly ageMs: number;
};

type Step = 'none' | 'ask' | 'wait for an answer' | 'leave, not confirmed';

/**
 Creates the exchange of the cluster state with peers. Followers of the store forward changes as they arrive; a node that missed
 some reads the state of a peer whose heartbeat has a higher revision. So a node stays up to date while it cannot reach the store.

 @example
 const clusterSync = createClusterSync(options);
 clusterSync.sendHeartbeat();
 clusterSync.isStoreNeeded();
 */
export function createClusterSync(options: ClusterSyncOptions): ClusterSync {
	const {network, links, view, follower, logger, metrics} = options;
	let isFollowing = true;
	const confirmations = createConfirmationTable({node: options.node});
	let lastLoggedStep = '';
	let nextCompareAt = -Infinity;
	let compareDelayMs = options.confirmMs;
	const delays = createDelayMeter();
	const versions = createVersionWatch({view, metrics});
	const stateFetcher = createStateFetcher({
		network, view, answerTimeoutMs: options.confirmMs / 2, logger, metrics,
	});
	/**
	Peers whose messages arrive late.
	*/
	const latePeers = new Set<string>();

	function measureAge(): number {
		if (follower.isSteady()) {
			confirmations.confirm();
		}

		return confirmations.measureAge();
	}

	function isConfirmed(): boolean {
		return measureAge() <= options.confirmMs;
	}

	/**
	Whether a peer has had a newer configuration for longer than it takes to receive one.
	*/
	function hasStaleConfiguration(): boolean {
		return versions.measureBehind() > options.confirmMs;
	}

	/**
	Whether a peer may have state that this node lacks. At the same revision, that is the case while removals are pending here, or
	when this node receives its changes from that peer and their digests differ.
	*/
	function isBehind(node: string, {revision, digest}: PeerHeartbeat): boolean {
		return revision === view.revision() ? view.hasPendingRemovals() || (links.isSource(node) && hasDifferentState(digest)) : revision > view.revision();
	}

	/**
	Whether a source has a different state at the same revision. The delay between two reports of a difference doubles while
	reading the source's state does not resolve it.
	*/
	function hasDifferentState(digest: number | undefined): boolean {
		if (digest === undefined) {
			return false;
		}

		if (digest === view.digest()) {
			compareDelayMs = options.confirmMs;
			return false;
		}

		const now = performance.now();
		if (now < nextCompareAt) {
			return false;
		}

		nextCompareAt = now + compareDelayMs;
		compareDelayMs = Math.min(maximumCompareDelayMs, compareDelayMs * 2);
		metrics.increment('gateway.beliefs-different');
		return true;
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
	Chooses what to do about a peer. Versions only increase, so a newer one is read whatever the age of the peer's confirmation.
	*/
	function chooseStep(node: string, heartbeat: PeerHeartbeat): Step {
		const {version, ageMs} = heartbeat;
		const isNewer = version > versions.get();
		if (!isNewer && !isBehind(node, heartbeat)) {
			return 'none';
		}

		if (!stateFetcher.canRead(node)) {
			return 'wait for an answer';
		}

		return isNewer || ageMs <= options.confirmMs ? 'ask' : 'leave, not confirmed';
	}

	/**
	Logs each step about a peer that is ahead once, not again for heartbeats that repeat it.
	*/
	function recordAhead(node: string, {revision, version, ageMs}: PeerHeartbeat, step: Step): void {
		if (step === 'none') {
			return;
		}

		const loggedStep = [node, revision, view.revision(), version, versions.get(), step].join(' ');
		if (loggedStep === lastLoggedStep) {
			return;
		}

		lastLoggedStep = loggedStep;
		logger.info({
			name: 'peer-ahead', peer: node, peerRevision: revision, revision: view.revision(), peerVersion: version, version: versions.get(), ageMs: Math.round(ageMs), step,
		});
	}

	/**
	Reads only newer entries if the node's own state is complete up to its revision, or all while removals are pending.
	*/
	function readState(node: string, isAhead: boolean): void {
		stateFetcher.startRead(node, isAhead && !view.hasPendingRemovals() ? 'newer' : 'all');
	}

	network.events.on('lost', ({data: {node}}) => {
		latePeers.delete(node);
		delays.remove(node);
	});
	view.events.on('advanced', ({data: {after, changes, source}}) => {
		if (links.isMesh()) {
			return;
		}

		const isFromStore = source === 'store';
		// A follower that isn't steady may have missed removals, so peers get the changes without the new revision.
		const revision = isFromStore && !follower.isSteady() ? after : changes.revision;
		network.broadcast('cluster.changes', {after, changes: {...changes, revision}}, isFromStore ? [...links.listRelays(), ...links.listMembers()] : links.listMembers());
	});

	return {
		sendHeartbeat() {
			network.broadcast('cluster.heartbeat', {
				revision: view.revision(),
				digest: view.hasPendingRemovals() ? undefined : view.digest(),
				version: versions.get(),
				confirmedAgoMs: measureAge(),
				confirmation: confirmations.latest(),
				sentAt: performance.now(),
			});
		},
		applyHeartbeat(parameters, node) {
			const {confirmedAgoMs, confirmation, sentAt, ...position} = heartbeatSchema.parse(parameters);
			const delayMs = sentAt === undefined ? 0 : delays.measure(node, sentAt);
			recordDelay(node, delayMs);
			versions.record(position.version);
			// A delayed heartbeat confirms nothing after the time it was sent.
			const heartbeat: PeerHeartbeat = {...position, digest: position.digest, ageMs: confirmedAgoMs + delayMs};
			if (confirmation !== undefined) {
				confirmations.record(confirmation, heartbeat.ageMs);
			}

			const step = chooseStep(node, heartbeat);
			recordAhead(node, heartbeat, step);
			if (step === 'ask') {
				readState(node, heartbeat.revision > view.revision());
			}
		},
		applyChanges(parameters, node) {
			const {after, changes} = changesSchema.parse(parameters);
			const hasGap = after > view.revision();
			// Newer entries apply despite the gap; the revision advances only once the gap is closed.
			view.applyChanges(hasGap ? {...changes, revision: view.revision()} : changes, 'peer');
			if (hasGap && stateFetcher.canRead(node)) {
				readState(node, true);
			}
		},
		getDelay: delays.get,
		exportState(parameters) {
			const {since} = stateRequestSchema.parse(parameters);
			return view.exportState(isConfirmed() && !view.hasPendingRemovals(), since);
		},
		isCurrent: () => isConfirmed() && !versions.isBehind() && !view.hasUnreadableConfiguration(),
		isStoreNeeded() {
			const isNeeded = links.isMesh() || links.isFollower() || !isConfirmed() || hasStaleConfiguration();
			if (isNeeded !== isFollowing) {
				isFollowing = isNeeded;
				logger.info({name: 'store-following', isFollowing, confirmedAgoMs: measureAge()});
			}

			return isNeeded;
		},
	};
}

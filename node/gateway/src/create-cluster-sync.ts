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
Options of `createBeliefSync`.
*/
type ClusterSyncOptions = {
	readonly node: string;
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
Longest pause between two looks into a difference that stays, in milliseconds.
*/
const longestComparePauseMs = 60_000;
/**
What a peer knows, and how long ago the store confirmed that nothing may have lapsed there, in milliseconds.
*/
type Word = {
	readonly revision: number;
	readonly digest: number | undefined;
	readonly version: number;
	readonly ageMs: number;
};

type Step = 'none' | 'ask' | 'wait for an answer' | 'leave, not confirmed';

/**
 Creates the exchange of beliefs with peers. Followers of the store pass changes on as they come; a node that has missed
 some asks the peer whose heartbeat shows a higher revision. A node that the store refuses thus stays up to date.

 @example
 const beliefs = createBeliefSync(options);
 beliefs.sendHeartbeat();
 beliefs.isStoreNeeded();
 */
export function createClusterSync(options: ClusterSyncOptions): ClusterSync {
	const {network, links, view, follower, logger, metrics} = options;
	let isFollowing = true;
	const confirmations = createConfirmationTable({node: options.node});
	let lastAhead = '';
	let compareAgainAt = -Infinity;
	let comparePauseMs = options.confirmMs;
	const delays = createDelayMeter();
	const versions = createVersionWatch({view, metrics});
	const states = createStateFetcher({
		network, view, answerTimeoutMs: options.confirmMs / 2, logger, metrics,
	});
	/**
	Peers whose messages come late.
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
	Whether some peer has had a newer configuration for longer than peers need to pass one on.
	*/
	function isLeftBehind(): boolean {
		return versions.measureBehind() > options.confirmMs;
	}

	/**
	Whether a peer knows what this node does not. One at the same revision may: whether what is kept here as lapsed was removed,
	or, as the node that this one hears changes from, what was missed on the way to that revision.
	*/
	function isBehind(node: string, {revision, digest}: Word): boolean {
		return revision === view.revision() ? view.hasLapsed() || (links.isSource(node) && isDifferent(digest)) : revision > view.revision();
	}

	/**
	Whether a source believes something else at the same revision. A difference that its state does not mend is looked into less
	and less often.
	*/
	function isDifferent(digest: number | undefined): boolean {
		if (digest === undefined) {
			return false;
		}

		if (digest === view.digest()) {
			comparePauseMs = options.confirmMs;
			return false;
		}

		const now = performance.now();
		if (now < compareAgainAt) {
			return false;
		}

		compareAgainAt = now + comparePauseMs;
		comparePauseMs = Math.min(longestComparePauseMs, comparePauseMs * 2);
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
	What to do about a peer. A version only rises, so a newer one is asked for whatever the age of the peer's word.
	*/
	function chooseStep(node: string, word: Word): Step {
		const {version, ageMs} = word;
		const isNewer = version > versions.get();
		if (!isNewer && !isBehind(node, word)) {
			return 'none';
		}

		if (!states.canRead(node)) {
			return 'wait for an answer';
		}

		return isNewer || ageMs <= options.confirmMs ? 'ask' : 'leave, not confirmed';
	}

	/**
	One line for each step taken about a peer that is ahead; heartbeats that bring nothing new write none.
	*/
	function recordAhead(node: string, {revision, version, ageMs}: Word, step: Step): void {
		if (step === 'none') {
			return;
		}

		const fact = [node, revision, view.revision(), version, versions.get(), step].join(' ');
		if (fact === lastAhead) {
			return;
		}

		lastAhead = fact;
		logger.info({
			name: 'peer-ahead', peer: node, peerRevision: revision, revision: view.revision(), peerVersion: version, version: versions.get(), ageMs: Math.round(ageMs), step,
		});
	}

	/**
	What is newer is enough for a node that believes all up to its revision; one that keeps entries which may have lapsed does not.
	*/
	function askState(node: string, isAhead: boolean): void {
		states.startRead(node, isAhead && !view.hasLapsed() ? 'newer' : 'all');
	}

	network.events.on('lost', ({data: {node}}) => {
		latePeers.delete(node);
		delays.remove(node);
	});
	view.events.on('advanced', ({data: {after, changes, source}}) => {
		if (links.isMesh()) {
			return;
		}

		const isOwn = source === 'store';
		// While entries may have lapsed here, peers are told what is new, but not that nothing else was removed.
		const revision = isOwn && !follower.isSteady() ? after : changes.revision;
		network.broadcast('cluster.changes', {after, changes: {...changes, revision}}, isOwn ? [...links.listRelays(), ...links.listMembers()] : links.listMembers());
	});

	return {
		sendHeartbeat() {
			network.broadcast('cluster.heartbeat', {
				revision: view.revision(),
				digest: view.hasLapsed() ? undefined : view.digest(),
				version: versions.get(),
				confirmedAgoMs: measureAge(),
				confirmation: confirmations.latest(),
				sentAt: performance.now(),
			});
		},
		applyHeartbeat(parameters, node) {
			const {confirmedAgoMs, confirmation, sentAt, ...known} = heartbeatSchema.parse(parameters);
			const delayMs = sentAt === undefined ? 0 : delays.measure(node, sentAt);
			recordDelay(node, delayMs);
			versions.record(known.version);
			// What waited on its way says nothing of the time since it was sent.
			const word: Word = {...known, digest: known.digest, ageMs: confirmedAgoMs + delayMs};
			if (confirmation !== undefined) {
				confirmations.record(confirmation, word.ageMs);
			}

			const step = chooseStep(node, word);
			recordAhead(node, word, step);
			if (step === 'ask') {
				askState(node, word.revision > view.revision());
			}
		},
		applyChanges(parameters, node) {
			const {after, changes} = changesSchema.parse(parameters);
			const hasGap = after > view.revision();
			// What is newer holds whatever was missed before it; the revision waits for what was missed.
			view.applyChanges(hasGap ? {...changes, revision: view.revision()} : changes, 'peer');
			if (hasGap && states.canRead(node)) {
				askState(node, true);
			}
		},
		getDelay: delays.get,
		exportState(parameters) {
			const {since} = stateRequestSchema.parse(parameters);
			return view.exportState(isConfirmed() && !view.hasLapsed(), since);
		},
		isCurrent: () => isConfirmed() && !versions.isBehind() && !view.hasUnreadConfiguration(),
		isStoreNeeded() {
			const isNeeded = links.isMesh() || links.isFollower() || !isConfirmed() || isLeftBehind();
			if (isNeeded !== isFollowing) {
				isFollowing = isNeeded;
				logger.info({name: 'store-following', isFollowing, confirmedAgoMs: measureAge()});
			}

			return isNeeded;
		},
	};
}

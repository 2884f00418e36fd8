import {setTimeout as delay} from 'node:timers/promises';
import type {ConfigFollower} from '@valvesaddle/config-follower';
import type {PeerNetwork} from '@valvesaddle/network';
import type {CatchUp} from './catch-up.ts';

/**
The watch on the key-value service usually brings a change within this time.
*/
const catchUpDelayMs = 300;
/**
Longest wait for a peer's answer before another may be asked, in milliseconds: many round trips between data centres, and
the time of a record behind other messages.
*/
const answerTimeoutMs = 1000;

type CatchUpOptions = {
	readonly network: PeerNetwork;
	readonly follower: ConfigFollower;
};

/**
 Creates the way in which a node that is cut from the key-value service gets a newer configuration: from the first peer
 that told of it, one at a time, and only if the watch did not bring it meanwhile. Without that pause every node would
 be sent every change by each of its peers.

 @example
 const catchUp = createCatchUp({network, follower});
 catchUp(8, 'b1');
 */
export function createCatchUp({network, follower}: CatchUpOptions): CatchUp {
	let isRunning = false;
	const pendingPeers = new Set<string>();

	async function readFromPeer(peer: string): Promise<void> {
		pendingPeers.add(peer);
		const result = await network.call(peer, 'configuration.compare', {revision: follower.revision()});
		pendingPeers.delete(peer);
		if (result.isOk()) {
			follower.offerText(result.value, peer);
		}
	}

	async function run(revision: number, peer: string): Promise<void> {
		await delay(catchUpDelayMs, undefined, {ref: false});
		if (follower.revision() >= revision) {
			return;
		}

		// A call on a living link may stay open without end; its answer is taken in whenever it comes.
		await Promise.race([readFromPeer(peer), delay(answerTimeoutMs, undefined, {ref: false})]);
	}

	return (revision, peer) => {
		if (isRunning || pendingPeers.has(peer) || follower.revision() >= revision) {
			return;
		}

		isRunning = true;
		void run(revision, peer).finally(() => {
			isRunning = false;
		});
	};
}

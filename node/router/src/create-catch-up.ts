import {setTimeout as delay} from 'node:timers/promises';
import type {ConfigFollower} from '@valvesaddle/config-follower';
import type {PeerNetwork} from '@valvesaddle/network';
import type {CatchUp} from './catch-up.ts';

/**
Time within which the watch on the key-value service usually delivers a change.
*/
const catchUpDelayMs = 300;
/**
Time after which another peer may be called, in milliseconds: many round trips between data centres, and the time that a
record takes behind other messages.
*/
const answerTimeoutMs = 1000;

type CatchUpOptions = {
	readonly network: PeerNetwork;
	readonly follower: ConfigFollower;
};

/**
 Creates the catch-up of a node whose watch on the key-value service is interrupted: reads a newer configuration from the
 first peer that announced it, one peer at a time. The delay gives the watch time to deliver it, so that not every peer
 sends every change.

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

		// A call on a live link may never be answered; a late answer is still applied.
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

import type {PeerNetwork} from '@valvesaddle/network';

/**
Peers asked at a time.
*/
const askedPeers = 3;

type PeerAskerOptions = {
	readonly network: PeerNetwork;
	/**
	Peers that may be asked, the ones to prefer first; some may be named twice.
	*/
	readonly listPeers: () => readonly string[];
	/**
	Revision of this node's own configuration.
	*/
	readonly revision: () => number;
};

/**
 Creates the question to some peers for a newer configuration; each answer comes by itself, and is `undefined` where there
 is none.

 @example
 const answers = createPeerAsker({network, listPeers: network.connected, revision: follower.revision})();
 */
export function createPeerAsker({network, listPeers, revision}: PeerAskerOptions): () => ReadonlyArray<Promise<unknown>> {
	const unanswered = new Set<string>();

	async function askPeer(peer: string): Promise<unknown> {
		unanswered.add(peer);
		const result = await network.call(peer, 'configuration.compare', {revision: revision()});
		unanswered.delete(peer);
		return result.unwrapOr(undefined);
	}

	// Peers that leave a question open are passed over: asked again they would take the place of one that answers.
	return () => [...new Set(listPeers())].filter(peer => !unanswered.has(peer)).slice(0, askedPeers).map(async peer => askPeer(peer));
}

import type {PeerNetwork} from '@valvesaddle/network';

/**
Peers called at a time.
*/
const maximumPeers = 3;

type PeerRequesterOptions = {
	readonly network: PeerNetwork;
	/**
	Peers that may be called, preferred ones first; may contain duplicates.
	*/
	readonly listPeers: () => readonly string[];
	/**
	Revision of this node's configuration.
	*/
	readonly revision: () => number;
};

/**
 Creates a function that requests a newer configuration from some peers. Each answer is a promise of its own, which may
 never settle; it resolves to `undefined` if the call fails or the peer has none.

 @example
 const answers = createPeerRequester({network, listPeers: network.connected, revision: follower.revision})();
 */
export function createPeerRequester({network, listPeers, revision}: PeerRequesterOptions): () => ReadonlyArray<Promise<unknown>> {
	const pendingPeers = new Set<string>();

	async function callPeer(peer: string): Promise<unknown> {
		pendingPeers.add(peer);
		const result = await network.call(peer, 'configuration.compare', {revision: revision()});
		pendingPeers.delete(peer);
		return result.unwrapOr(undefined);
	}

	// Skips peers with an unanswered call, which would take the place of one that answers.
	return () => [...new Set(listPeers())].filter(peer => !pendingPeers.has(peer)).slice(0, maximumPeers).map(async peer => callPeer(peer));
}

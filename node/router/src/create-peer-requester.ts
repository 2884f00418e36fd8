import type {PeerNetwork} from '@valvesaddle/network';

/**
Peers asked at a time.
*/
const maximumPeers = 3;

type PeerRequesterOptions = {
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
export function createPeerRequester({network, listPeers, revision}: PeerRequesterOptions): () => ReadonlyArray<Promise<unknown>> {
	const pendingPeers = new Set<string>();

	async function callPeer(peer: string): Promise<unknown> {
		pendingPeers.add(peer);
		const result = await network.call(peer, 'configuration.compare', {revision: revision()});
		pendingPeers.delete(peer);
		return result.unwrapOr(undefined);
	}

	// Peers that leave a question open are passed over: asked again they would take the place of one that answers.
	return () => [...new Set(listPeers())].filter(peer => !pendingPeers.has(peer)).slice(0, maximumPeers).map(async peer => callPeer(peer));
}

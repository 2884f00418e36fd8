/**
Properties of the links between nodes. Times are one-way latencies, in milliseconds.
*/
export type LinkTraits = {
	/**
	Within a data centre.
	*/
	readonly nearMs: number;
	/**
	Between data centres.
	*/
	readonly farMs: number;
	/**
	Maximum random addition to a message's latency, as a share of it.
	*/
	readonly jitterShare: number;
	/**
	Share of messages that are lost once and retransmitted. Later messages of the link wait for them.
	*/
	readonly lossShare: number;
	/**
	Bytes that a node can send in a millisecond over all its links; unlimited if omitted.
	*/
	readonly uplinkBytesPerMs?: number;
};

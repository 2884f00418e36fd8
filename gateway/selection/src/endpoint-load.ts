import type {EndpointEvidence} from '@valvesaddle/evidence';

/**
Load of one endpoint: of one node's requests, or a sum over several nodes.
*/
export type EndpointLoad = {
	/**
	Open requests.
	*/
	readonly open: number;
	/**
	Prompt tokens that are still to be prefilled, by the rank of their requests, 0 first.
	*/
	readonly pendingPrefill: readonly number[];
	/**
	Sum of the sensitivities of its open streams.
	*/
	readonly sensitivity: number;
	/**
	Nodes that expect chunks from the endpoint.
	*/
	readonly observers: number;
	/**
	Those of them that have received none in time.
	*/
	readonly stalledObservers: number;
	/**
	Prompt tokens that it prefilled recently, including those queued before them, and the time that this took: its speed.
	*/
	readonly prefilledTokens: number;
	readonly prefillMs: number;
	/**
	Open streams that endpoints may be reserved for.
	*/
	readonly protectedStreams: number;
	/**
	Tokens of its memory that its open requests hold, with what they are expected to generate; each counts its share of the parts
	that it shares with others there. 0 if memory is not predicted.
	*/
	readonly memoryTokens: number;
	/**
	What recent requests have shown of it; missing if there were none, or if the nodes do not tell each other.
	*/
	readonly evidence?: EndpointEvidence;
};

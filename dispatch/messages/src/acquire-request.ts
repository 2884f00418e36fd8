import type {TraceCarrier} from '@valvesaddle/tracing';

/**
Requests a grant from a pool's dispatcher.
*/
export type AcquireRequest = {
	readonly requestId: string;
	/**
	Dispatcher shard; see `DutyIndex`.
	*/
	readonly duty: string;
	readonly account: string;
	readonly className: string;
	/**
	Requesting node.
	*/
	readonly node: string;
	readonly dataCentre: string;
	/**
	Time since the request arrived at its node, in milliseconds.
	*/
	readonly waitedMs: number;
	/**
	Part of that time that does not count against the longest wait of its class, in milliseconds: that spent at endpoints, and
	all until the end of the last attempt that may have run. It does not change the request's place in the queue.
	*/
	readonly ranMs: number;
	/**
	Whether another dispatcher has queued the request; admission by predicted wait is then skipped.
	*/
	readonly admitted: boolean;
	readonly promptTokens: number;
	/**
	Tokens already delivered, for a request that resumes.
	*/
	readonly tokensSoFar: number;
	readonly session: string | undefined;
	readonly repeatable: boolean;
	/**
	Endpoints that failed the request.
	*/
	readonly avoid: readonly string[];
	/**
	Nodes that the requesting node could not reach; the first other node in rank order is the owner.
	*/
	readonly skipped: readonly string[];
	/**
	Whether the receiving node must dispatch even if it considers another node the owner; breaks redirect loops.
	*/
	readonly forced: boolean;
	readonly trace: TraceCarrier;
};

import type {TraceCarrier} from '@valvesaddle/tracing';

/**
Asks the dispatcher of a pool for a grant.
*/
export type AcquireRequest = {
	readonly requestId: string;
	/**
	Duty of the dispatcher; see `DutyIndex`.
	*/
	readonly duty: string;
	readonly account: string;
	readonly className: string;
	/**
	Node that asks.
	*/
	readonly node: string;
	readonly dataCentre: string;
	/**
	Time that the request has waited already, elsewhere, in milliseconds.
	*/
	readonly waitedMs: number;
	/**
	Whether a dispatcher took the request into its queue before; it is not judged by its predicted wait again.
	*/
	readonly admitted: boolean;
	readonly promptTokens: number;
	/**
	Tokens delivered already, when the request resumes.
	*/
	readonly tokensSoFar: number;
	readonly session: string | undefined;
	readonly repeatable: boolean;
	/**
	Endpoints that failed the request.
	*/
	readonly avoid: readonly string[];
	/**
	Nodes that the asker could not reach; the first other node in rank order dispatches.
	*/
	readonly skipped: readonly string[];
	/**
	Whether the asked node must dispatch even if it takes another for the owner; ends a circle of redirects.
	*/
	readonly forced: boolean;
	readonly trace: TraceCarrier;
};

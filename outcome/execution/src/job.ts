import type {TraceCarrier} from '@valvesaddle/tracing';
import type {Pool, RequestClass} from '@valvesaddle/types';
import type {EngineWork} from './engine-work.ts';
import type {JobClaim} from './job-claim.ts';
import type {ServiceWork} from './service-work.ts';

/**
Accepted request with all data for its execution.
*/
export type Job = {
	readonly requestId: string;
	readonly account: string;
	readonly pool: Pool;
	readonly requestClass: RequestClass;
	readonly session: string | undefined;
	readonly promptTokens: number;
	/**
	Set when the request may run at most once.
	*/
	readonly claim: JobClaim | undefined;
	readonly trace: TraceCarrier;
	/**
	Time of arrival, in milliseconds on the monotonic clock.
	*/
	readonly arrivedAt: number;
	readonly work: EngineWork | ServiceWork;
};

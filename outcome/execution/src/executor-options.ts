import type {AnswerStore} from '@valvesaddle/answers';
import type {ClaimClient} from '@valvesaddle/claims';
import type {DispatchClient} from '@valvesaddle/client';
import type {EngineClient} from '@valvesaddle/engine';
import type {Metrics} from '@valvesaddle/metrics';
import type {ServiceClient} from '@valvesaddle/service';
import type {Tracing} from '@valvesaddle/tracing';

/**
Options of `createExecutor`.
*/
export type ExecutorOptions = {
	readonly node: string;
	readonly dispatch: DispatchClient;
	readonly engines: EngineClient;
	readonly services: ServiceClient;
	readonly claims: ClaimClient;
	readonly answers: AnswerStore;
	/**
	Time after which an answer without a reader is abandoned, in milliseconds.
	*/
	readonly abandonMs: number;
	readonly tracing: Tracing;
	readonly metrics: Metrics;
};

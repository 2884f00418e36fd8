import type {EngineEvent} from './engine-event.ts';
import type {EngineLoad} from './engine-load.ts';
import type {EngineRequest} from './engine-request.ts';

/**
 Client of the model engines. `stream` throws a `ValvesaddleError`: `…ENDPOINT_NOT_RUN` when the engine certainly did
 not run the request, `…ENDPOINT_REJECTED` when it rejected it as invalid, `…ENDPOINT_FAILED` when it may have run.
 */
export type EngineClient = {
	readonly stream: (request: EngineRequest, signal: AbortSignal) => AsyncGenerator<EngineEvent, void>;
	/**
	`undefined` when the engine gives no valid answer.
	*/
	readonly readLoad: (url: string) => Promise<EngineLoad | undefined>;
	readonly close: () => Promise<void>;
};

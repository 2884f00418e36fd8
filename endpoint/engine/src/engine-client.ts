import type {EngineEvent} from './engine-event.ts';
import type {EngineLoad} from './engine-load.ts';
import type {EngineRequest} from './engine-request.ts';

/**
 Port of the model engines. `stream` throws a `ValvesaddleError`: `…ENDPOINT_NOT_RUN` when the engine surely did not
 run the request, `…ENDPOINT_REJECTED` when it found fault with it, `…ENDPOINT_FAILED` when it may have run.
 */
export type EngineClient = {
	readonly stream: (request: EngineRequest, signal: AbortSignal) => AsyncGenerator<EngineEvent, void>;
	/**
	`undefined` when the engine does not answer.
	*/
	readonly readLoad: (url: string) => Promise<EngineLoad | undefined>;
	readonly close: () => Promise<void>;
};

import type {Metrics} from '@valvesaddle/metrics';

/**
 Creates the recorder of calls to the store: their number, failures and duration, by kind.

 @example
 const store = createFleetStore({address, timeoutMs: 1000, onCall: createCallRecorder(metrics)});
 */
export function createCallRecorder(metrics: Metrics): (call: string, milliseconds: number, isDone: boolean) => void {
	return (call, milliseconds, isDone) => {
		metrics.increment('store.calls', 1, {call});
		metrics.increment('store.calls-failed', isDone ? 0 : 1, {call});
		metrics.timing('store.call', milliseconds, {call});
	};
}

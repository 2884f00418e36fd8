import type {FinishedHop} from './finished-hop.ts';
import type {HopSpan} from './hop-span.ts';
import type {TraceCarrier} from './trace-carrier.ts';

/**
Creates a span for each hop of a request.
*/
export type Tracing = {
	readonly startHop: (name: string, parent: TraceCarrier) => HopSpan;
	/**
	Finished spans; only with the `memory` exporter.
	*/
	readonly finished: () => readonly FinishedHop[];
	readonly close: () => Promise<void>;
};

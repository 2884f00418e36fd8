import type {TraceCarrier} from './trace-carrier.ts';

/**
The span of one hop.
*/
export type HopSpan = {
	readonly setAttribute: (name: string, value: string | number | boolean) => void;
	readonly addEvent: (name: string) => void;
	readonly fail: (message: string) => void;
	readonly end: () => void;
	/**
	Trace context to propagate, as headers.
	*/
	readonly carrier: TraceCarrier;
};

export {createTracing} from './create-tracing.ts';
export type {FinishedHop} from './finished-hop.ts';
export type {HopSpan} from './hop-span.ts';
export type {TraceCarrier} from './trace-carrier.ts';
export type {Tracing} from './tracing.ts';
export type {TracingOptions} from './tracing-options.ts';

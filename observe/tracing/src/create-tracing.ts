import {
	ROOT_CONTEXT,
	SpanStatusCode,
	trace,
	type Span,
} from '@opentelemetry/api';
import {OTLPTraceExporter} from '@opentelemetry/exporter-trace-otlp-http';
import {
	BatchSpanProcessor,
	InMemorySpanExporter,
	NodeTracerProvider,
	ParentBasedSampler,
	SimpleSpanProcessor,
	TraceIdRatioBasedSampler,
	type SpanProcessor,
} from '@opentelemetry/sdk-trace-node';
import {W3CTraceContextPropagator} from '@opentelemetry/core';
import type {FinishedHop} from './finished-hop.ts';
import type {HopSpan} from './hop-span.ts';
import type {TraceCarrier} from './trace-carrier.ts';
import type {Tracing} from './tracing.ts';
import type {TracingOptions} from './tracing-options.ts';

const propagator = new W3CTraceContextPropagator();
const contextHeaders = ['traceparent', 'tracestate'];
const noop = (): void => {
	// Without an exporter there is nothing to record.
};

const noopHop: HopSpan = {
	setAttribute: noop, addEvent: noop, fail: noop, end: noop, carrier: {},
};

/**
 Creates the tracing of a node. Without an exporter the caller's trace context is still propagated.

 @example
 const hop = tracing.startHop('request', {traceparent: headers.traceparent});
 hop.end();
 */
export function createTracing(options: TracingOptions): Tracing {
	if (options.exporter === 'none') {
		return {
			startHop: (_name, parent) => ({...noopHop, carrier: pickContext(parent)}),
			finished: () => [],
			async close() {
				// There is nothing to flush.
			},
		};
	}

	const memory = new InMemorySpanExporter();
	const processors: Record<'memory' | 'otlp', () => SpanProcessor> = {
		memory: () => new SimpleSpanProcessor(memory),
		otlp: () => new BatchSpanProcessor(new OTLPTraceExporter(options.url === undefined ? {} : {url: options.url})),
	};
	const provider = new NodeTracerProvider({
		sampler: new ParentBasedSampler({root: new TraceIdRatioBasedSampler(options.ratio)}),
		spanProcessors: [processors[options.exporter]()],
	});
	const tracer = provider.getTracer('valvesaddle');

	return {
		startHop(name, parent) {
			const parentContext = propagator.extract(ROOT_CONTEXT, parent, getter);
			const span = tracer.startSpan(name, {attributes: {'valvesaddle.node': options.node}}, parentContext);
			return toHopSpan(span);
		},
		finished: () => memory.getFinishedSpans().map(span => ({
			name: span.name,
			traceId: span.spanContext().traceId,
			spanId: span.spanContext().spanId,
			parentSpanId: span.parentSpanContext?.spanId,
			durationMs: (span.duration[0] * 1000) + (span.duration[1] / 1e6),
		} satisfies FinishedHop)),
		close: async () => provider.shutdown(),
	};
}

const getter = {
	keys: (carrier: TraceCarrier) => Object.keys(carrier),
	get: (carrier: TraceCarrier, key: string) => carrier[key],
};

function toHopSpan(span: Span): HopSpan {
	const carrier: Record<string, string> = {};
	propagator.inject(trace.setSpan(ROOT_CONTEXT, span), carrier, {
		set(target: Record<string, string>, key, value) {
			target[key] = value;
		},
	});
	return {
		carrier,
		setAttribute(name, value) {
			span.setAttribute(name, value);
		},
		addEvent(name) {
			span.addEvent(name);
		},
		fail(message) {
			span.setStatus({code: SpanStatusCode.ERROR, message});
		},
		end() {
			span.end();
		},
	};
}

function pickContext(parent: TraceCarrier): TraceCarrier {
	return Object.fromEntries(contextHeaders.flatMap(name => parent[name] === undefined ? [] : [[name, parent[name]]]));
}

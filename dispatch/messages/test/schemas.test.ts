import fc from 'fast-check';
import {test} from 'tap';
import {
	acquireReplySchema,
	acquireRequestSchema,
	cancelMessageSchema,
	progressMessageSchema,
	registerRequestSchema,
	releaseReportSchema,
	toAcquireMessage,
} from '@valvesaddle/messages';

const schemas = {
	acquireReplySchema, acquireRequestSchema, cancelMessageSchema, progressMessageSchema, registerRequestSchema, releaseReportSchema,
};

for (const [name, schema] of Object.entries(schemas)) {
	test(`${name} accepts or rejects any input without throwing`, t => {
		fc.assert(fc.property(fc.anything(), input => typeof schema.safeParse(input).success === 'boolean'));
		t.end();
	});
}

test('an acquire request survives encoding with its default values omitted', t => {
	const request = fc.record({
		requestId: fc.string(), duty: fc.string(), account: fc.string(), className: fc.string(), node: fc.string(), dataCentre: fc.string(),
		waitedMs: fc.nat(), ranMs: fc.nat(), admitted: fc.boolean(), promptTokens: fc.nat(), tokensSoFar: fc.nat(), session: fc.option(fc.string(), {nil: undefined}),
		repeatable: fc.boolean(), avoid: fc.array(fc.string()), skipped: fc.array(fc.string()), forced: fc.boolean(),
		trace: fc.dictionary(fc.constantFrom('traceparent', 'tracestate'), fc.string(), {noNullPrototype: true}),
	});
	fc.assert(fc.property(request, sent => {
		const text = JSON.stringify(toAcquireMessage(sent));
		const received = acquireRequestSchema.parse(JSON.parse(text));
		return Object.entries(sent).every(([name, value]) => JSON.stringify(received[name as keyof typeof received]) === JSON.stringify(value));
	}));
	t.end();
});

test('a refusal with an unknown code is rejected', t => {
	const refusal = {kind: 'refused', message: '', retryAfterMs: 1};
	t.ok(acquireReplySchema.safeParse({...refusal, code: 'ERR_VALVESADDLE_OVERLOADED'}).success);
	t.notOk(acquireReplySchema.safeParse({...refusal, code: 'ERR_OTHER'}).success);
	t.end();
});

test('numbers that would corrupt counts are rejected', t => {
	const report = {
		grantId: 'g', duty: 'p', outcome: 'complete', tokens: 1,
	};
	for (const tokens of [-1, NaN, Infinity, '1']) {
		t.notOk(releaseReportSchema.safeParse({...report, tokens}).success, String(tokens));
	}

	t.ok(releaseReportSchema.safeParse(report).success);
	t.end();
});

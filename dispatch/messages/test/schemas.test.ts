import fc from 'fast-check';
import {test} from 'tap';
import {
	acquireReplySchema, acquireRequestSchema, cancelMessageSchema, progressMessageSchema, registerRequestSchema, releaseReportSchema,
} from '@valvesaddle/messages';

const schemas = {
	acquireReplySchema, acquireRequestSchema, cancelMessageSchema, progressMessageSchema, registerRequestSchema, releaseReportSchema,
};

for (const [name, schema] of Object.entries(schemas)) {
	test(`anything that reaches ${name} is either read or rejected, never thrown on`, t => {
		fc.assert(fc.property(fc.anything(), input => typeof schema.safeParse(input).success === 'boolean'));
		t.end();
	});
}

test('a refusal with an unknown code is rejected', t => {
	const refusal = {kind: 'refused', message: '', retryAfterMs: 1};
	t.ok(acquireReplySchema.safeParse({...refusal, code: 'ERR_VALVESADDLE_OVERLOADED'}).success);
	t.notOk(acquireReplySchema.safeParse({...refusal, code: 'ERR_OTHER'}).success);
	t.end();
});

test('numbers that would corrupt counts are rejected', t => {
	const report = {grantId: 'g', pool: 'p', outcome: 'complete', tokens: 1};
	for (const tokens of [-1, Number.NaN, Infinity, '1']) {
		t.notOk(releaseReportSchema.safeParse({...report, tokens}).success, String(tokens));
	}

	t.ok(releaseReportSchema.safeParse(report).success);
	t.end();
});

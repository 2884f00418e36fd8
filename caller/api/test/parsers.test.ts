import fc from 'fast-check';
import {test} from 'tap';
import {toValvesaddleError} from '@valvesaddle/error';
import {estimatePromptTokens} from '../src/estimate-prompt-tokens.ts';
import {parseChatBody} from '../src/parse-chat-body.ts';
import {parseEventId} from '../src/parse-event-id.ts';

test('any body is either parsed or rejected with a typed error', t => {
	fc.assert(fc.property(fc.oneof(fc.string(), fc.json(), fc.record({model: fc.string(), messages: fc.array(fc.object())}).map(value => JSON.stringify(value))), text => {
		try {
			return parseChatBody(text).messages.length > 0;
		} catch (error) {
			return toValvesaddleError(error).code === 'ERR_VALVESADDLE_MALFORMED_BODY';
		}
	}));
	t.end();
});

test('unknown fields are kept', t => {
	t.same(parseChatBody('{"model":"m","messages":[{"role":"user","content":"x","name":"n"}],"top_k":5}'), {
		model: 'm', messages: [{role: 'user', content: 'x', name: 'n'}], top_k: 5,
	});
	t.end();
});

test('any event id is either parsed completely or rejected', t => {
	fc.assert(fc.property(fc.string(), text => {
		const position = parseEventId(text);
		return position === undefined || `${position.requestId}:${text.split(':').at(-1)}` === text;
	}));
	t.same(parseEventId('n1_3f-9:42'), {requestId: 'n1_3f-9', offset: 42});
	for (const text of ['', 'n1', 'n1:', ':4', 'n1:-4', 'n1:4:5', 'n1:9999999999']) {
		t.equal(parseEventId(text), undefined, text);
	}

	t.end();
});

test('the length of a prompt is estimated from its texts, without images', t => {
	const picture = {type: 'image_url', image_url: {url: `data:${'x'.repeat(10_000)}`}};
	t.equal(estimatePromptTokens([{content: 'abcdefgh'}, {content: [{type: 'text', text: 'abcd'}, picture]}, {content: undefined}]), 3);
	t.end();
});

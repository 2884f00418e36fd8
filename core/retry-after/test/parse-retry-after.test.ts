import {test} from 'tap';
import {parseRetryAfter} from '@valvesaddle/retry-after';

test('seconds are parsed, also with a fraction or repeated', t => {
	t.equal(parseRetryAfter('3'), 3000);
	t.equal(parseRetryAfter(' 0.25 '), 250);
	t.equal(parseRetryAfter('0'), 0);
	t.equal(parseRetryAfter(['1', 'soon', '2']), 2000);
	t.end();
});

test('values that are no number of seconds are ignored', t => {
	for (const text of ['', 'soon', '-5', 'NaN', 'Infinity', '1e309', '0x10', '1,5', '9'.repeat(400), 'Wed, 21 Oct 2026 07:28:00 GMT']) {
		t.equal(parseRetryAfter(text), undefined, text.slice(0, 20));
	}

	t.equal(parseRetryAfter(undefined), undefined);
	t.equal(parseRetryAfter([]), undefined);
	t.end();
});

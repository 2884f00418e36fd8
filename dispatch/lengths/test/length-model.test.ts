import {test} from 'tap';
import {createLengthModel} from '@valvesaddle/lengths';

test('the expected length grows with the tokens so far', t => {
	const model = createLengthModel();
	for (let answer = 0; answer < 64; answer++) {
		model.record('estimate', answer % 2 === 0 ? 100 : 1000);
	}

	const atStart = model.expect('estimate', 0);
	t.ok(atStart > 400 && atStart < 700, String(atStart));
	t.ok(model.expect('estimate', 200) > 900);
	t.equal(model.expect('estimate', 4000), 6000);
	t.end();
});

test('a class without recorded answers has the default length, whatever other classes record', t => {
	const model = createLengthModel();
	for (let answer = 0; answer < 64; answer++) {
		model.record('gate', 5);
	}

	t.equal(model.expect('estimate', 0), 200);
	t.ok(model.expect('gate', 0) <= 6);
	t.end();
});

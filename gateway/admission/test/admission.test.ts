import {test} from 'tap';
import {createWaitBaselines, decideAdmission, type AdmissionInput} from '@valvesaddle/admission';

const settings = {lateFactor: 1.3, waitFactor: 0.5, retryAfterFactor: 1.5};
const question: AdmissionInput = {
	predictedMs: 400, readMs: 50, objectiveMs: 600, elapsedMs: 0, isRetry: false, draw: 0.5,
};

test('what is predicted decides: in time, behind the others, or back later', t => {
	const cases: ReadonlyArray<readonly [change: Partial<AdmissionInput>, kind: string]> = [
		[{}, 'send'],
		[{predictedMs: 780}, 'send'],
		[{predictedMs: 781}, 'refuse'],
		[{predictedMs: 400, elapsedMs: 300}, 'refuse'],
		[{predictedMs: 400, elapsedMs: 300, isRetry: true}, 'send-late'],
		[{predictedMs: 100, elapsedMs: 300, isRetry: true}, 'send'],
		[{predictedMs: 60_000, isRetry: true}, 'send-late'],
		[{predictedMs: 60, elapsedMs: 5000}, 'send-late'],
	];
	for (const [change, kind] of cases) {
		t.equal(decideAdmission({...question, ...change}, settings).kind, kind, JSON.stringify(change));
	}

	t.end();
});

test('a long prompt is refused by its wait for others, never for its own size', t => {
	for (const readMs of [0, 50, 500, 5000]) {
		t.not(decideAdmission({...question, predictedMs: 300 + readMs, readMs}, settings).kind, 'refuse', `${readMs} ms to read`);
		t.equal(decideAdmission({...question, predictedMs: 800 + readMs, readMs}, settings).kind, 'refuse', `${readMs} ms to read`);
	}

	t.end();
});

test('callers that are refused together are told to come back at different times, later when more waits', t => {
	const returns = [0, 0.5, 0.999].map(draw => decideAdmission({...question, predictedMs: 1000, draw}, settings));
	t.match(returns, [{retryAfterMs: 1125}, {retryAfterMs: 1500}, {kind: 'refuse'}]);
	const [early, , late] = returns.map(admission => admission.kind === 'refuse' ? admission.retryAfterMs : 0);
	t.ok(late! > early! * 1.6);
	t.match(decideAdmission({...question, predictedMs: 2000}, settings), {retryAfterMs: 3000});
	t.end();
});

test('a caller that comes back is told by what is left of its wait', t => {
	const waits = createWaitBaselines();
	for (let request = 0; request < 20; request++) {
		t.equal(waits.record('drafts', 6000 - (request % 3 * 5)), 0);
	}

	const spentMs = waits.record('drafts', 4500);
	t.ok(spentMs > 1400 && spentMs < 1510, String(spentMs));
	t.equal(waits.record('queries', 4500), 0, 'each route has its own');
	t.end();
});

test('neither one caller with a long wait nor many repeats move the usual wait far', t => {
	const waits = createWaitBaselines();
	for (let request = 0; request < 50; request++) {
		waits.record('drafts', 6000);
		waits.record('drafts', 3000);
	}

	t.ok(waits.record('drafts', 3000) > 2500);
	waits.record('drafts', 15_000);
	for (let request = 0; request < 300; request++) {
		waits.record('drafts', 6000);
	}

	t.equal(waits.record('drafts', 6000), 0);
	t.end();
});

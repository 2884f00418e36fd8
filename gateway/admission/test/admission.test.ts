import {test} from 'tap';
import {createWaitBaselines, decideAdmission, type AdmissionInput} from '@valvesaddle/admission';

const settings = {lateFactor: 1.3, waitFactor: 0.5, retryAfterFactor: 1.5};
const input: AdmissionInput = {
	predictedMs: 400, readMs: 50, objectiveMs: 600, elapsedMs: 0, isRetry: false, draw: 0.5,
};

test('a request is sent, sent late or refused by its predicted time', t => {
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
		t.equal(decideAdmission({...input, ...change}, settings).kind, kind, JSON.stringify(change));
	}

	t.end();
});

test('a long prompt is refused by its wait for others, not by its own prefill', t => {
	for (const readMs of [0, 50, 500, 5000]) {
		t.not(decideAdmission({...input, predictedMs: 300 + readMs, readMs}, settings).kind, 'refuse', `${readMs} ms of prefill`);
		t.equal(decideAdmission({...input, predictedMs: 800 + readMs, readMs}, settings).kind, 'refuse', `${readMs} ms of prefill`);
	}

	t.end();
});

test('callers that are refused together retry at different times, later if the predicted time is longer', t => {
	const admissions = [0, 0.5, 0.999].map(draw => decideAdmission({...input, predictedMs: 1000, draw}, settings));
	t.match(admissions, [{retryAfterMs: 1125}, {retryAfterMs: 1500}, {kind: 'refuse'}]);
	const [early, , late] = admissions.map(admission => admission.kind === 'refuse' ? admission.retryAfterMs : 0);
	t.ok(late! > early! * 1.6);
	t.match(decideAdmission({...input, predictedMs: 2000}, settings), {retryAfterMs: 3000});
	t.end();
});

test('a retry is detected by what is left of its wait', t => {
	const waits = createWaitBaselines();
	for (let request = 0; request < 20; request++) {
		t.equal(waits.record('drafts', 6000 - (request % 3 * 5)), 0);
	}

	const spentMs = waits.record('drafts', 4500);
	t.ok(spentMs > 1400 && spentMs < 1510, String(spentMs));
	t.equal(waits.record('queries', 4500), 0, 'each route has its own baseline');
	t.end();
});

test('neither a single long wait nor many retries change the baseline much', t => {
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

test('where requests may wait, a late one waits for a slot while it may still be in time, and one that has come back as long as its time allows', t => {
	const waiting = {
		mustWait: false, roomInMs: 0, isUrgent: false, isPromised: false, planReturnMs: (roomInMs: number) => roomInMs * 10,
	};
	const promised = {...waiting, isPromised: true};
	const urgent = {...waiting, isUrgent: true};
	const cases: ReadonlyArray<readonly [change: Partial<AdmissionInput>, kind: string, today: string]> = [
		[{waiting}, 'send', 'send'],
		[{predictedMs: 900, waiting}, 'refuse', 'refuse'],
		[{predictedMs: 900, waiting: {...waiting, roomInMs: 40}}, 'wait', 'refuse'],
		[{predictedMs: 2000, waiting: {...waiting, roomInMs: 40}}, 'refuse', 'refuse'],
		[{predictedMs: 900, isRetry: true, waiting: promised}, 'send-late', 'send-late'],
		[{predictedMs: 900, isRetry: true, waiting: {...promised, roomInMs: 40}}, 'wait', 'send-late'],
		[{predictedMs: 300, elapsedMs: 400, waiting}, 'send-late', 'send-late'],
		[{predictedMs: 9000, waiting: urgent}, 'send-late', 'refuse'],
		[{predictedMs: 9000, waiting: {...urgent, mustWait: true}}, 'wait', 'refuse'],
		[{predictedMs: 400, waiting: {...waiting, mustWait: true, roomInMs: 50}}, 'wait', 'send'],
	];
	for (const [change, kind, today] of cases) {
		t.equal(decideAdmission({...input, ...change}, settings).kind, kind, JSON.stringify(change));
		const {waiting: _waiting, ...rest} = {...input, ...change};
		t.equal(decideAdmission(rest, settings).kind, today, `without waiting: ${JSON.stringify(change)}`);
	}

	t.match(decideAdmission({...input, predictedMs: 2000, waiting: {...waiting, roomInMs: 40}}, settings), {retryAfterMs: 19_500}, 'comes back when there is room');
	t.end();
});

import {test} from 'tap';
import {createDraftsBesideQueries} from '@valvesaddle/emulator-loads';
import {runEmulation} from '@valvesaddle/emulator-fleet';

const selection = {
	interferenceWeight: 1, riskWeight: 1, reuseMs: 10_000, rereadMsPerToken: 0.3, prefillTokensPerMs: 50,
};
const admission = {lateFactor: 1.3, retryAfterFactor: 1.5, waitFactor: 0.5};
const load = createDraftsBesideQueries();

test('the same load, settings and seed give the same report, another seed another one', t => {
	const first = runEmulation({
		load: {...load, lengthMs: 4000}, seed: 3, selection, admission,
	});
	t.same(runEmulation({
		load: {...load, lengthMs: 4000}, seed: 3, selection, admission,
	}), first);
	t.notSame(runEmulation({
		load: {...load, lengthMs: 4000}, seed: 4, selection, admission,
	}), first);
	t.end();
});

test('each request ends once', t => {
	const {classes} = runEmulation({
		load: {...load, lengthMs: 6000}, seed: 1, selection, admission,
	});
	for (const [name, report] of Object.entries(classes)) {
		t.equal(report.inTime + report.firstLate + report.pauseLate + report.refused + report.failed + report.abandoned, report.asked, name);
		t.ok(report.asked > 50, name);
	}

	t.end();
});

test('streams meet their pause objectives beside long prompts because selection counts prefill interference and risk', t => {
	const {classes: {queries: counted}} = runEmulation({
		load, seed: 2, selection, admission,
	});
	const {classes: {queries: ignored}} = runEmulation({
		load, seed: 2, selection: {...selection, interferenceWeight: 0, riskWeight: 0}, admission,
	});
	t.ok(counted!.pauseLate < 0.15 * counted!.asked, `${counted!.pauseLate} of ${counted!.asked}`);
	t.ok(ignored!.pauseLate > 0.3 * ignored!.asked, `${ignored!.pauseLate} of ${ignored!.asked}`);
	t.end();
});

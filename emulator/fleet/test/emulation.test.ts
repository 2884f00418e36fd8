import {test} from 'tap';
import {createDraftsBesideQueries} from '@valvesaddle/emulator-loads';
import {runEmulation} from '@valvesaddle/emulator-fleet';

const selection = {
	harmWeight: 1, riskWeight: 1, lateFactor: 1.3, reuseMs: 10_000, rereadMsPerToken: 0.3, prefillTokensPerMs: 50,
};
const load = createDraftsBesideQueries();

test('the same load, settings and seed give the same report, another seed another one', t => {
	const first = runEmulation({load: {...load, lengthMs: 4000}, seed: 3, selection});
	t.same(runEmulation({load: {...load, lengthMs: 4000}, seed: 3, selection}), first);
	t.notSame(runEmulation({load: {...load, lengthMs: 4000}, seed: 4, selection}), first);
	t.end();
});

test('each request ends once', t => {
	const {classes} = runEmulation({load: {...load, lengthMs: 6000}, seed: 1, selection});
	for (const [name, report] of Object.entries(classes)) {
		t.equal(report.inTime + report.firstLate + report.pauseLate + report.refused + report.failed + report.abandoned, report.asked, name);
		t.ok(report.asked > 50, name);
	}

	t.end();
});

test('streams keep their pauses beside long prompts because of the harm and the risk that placing counts', t => {
	const {classes: {queries: counted}} = runEmulation({load, seed: 2, selection});
	const {classes: {queries: uncounted}} = runEmulation({load, seed: 2, selection: {...selection, harmWeight: 0, riskWeight: 0}});
	t.ok(counted!.pauseLate < 0.15 * counted!.asked, `${counted!.pauseLate} of ${counted!.asked}`);
	t.ok(uncounted!.pauseLate > 0.3 * uncounted!.asked, `${uncounted!.pauseLate} of ${uncounted!.asked}`);
	t.end();
});

test('drafts that cannot be in time do not make the others late', t => {
	const {classes: {drafts: behind}} = runEmulation({load, seed: 2, selection});
	const {classes: {drafts: inOrder}} = runEmulation({load, seed: 2, selection: {...selection, lateFactor: 1000}});
	t.ok(behind!.inTime > inOrder!.inTime, `${behind!.inTime} in time, ${inOrder!.inTime} in order of arrival`);
	t.end();
});

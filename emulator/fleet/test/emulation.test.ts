import {test} from 'tap';
import {createDraftsBesideOverload, createDraftsBesideQueries} from '@valvesaddle/emulator-loads';
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

test('streams keep their pauses beside long prompts because of the harm and the risk that placing counts', t => {
	const {classes: {queries: counted}} = runEmulation({
		load, seed: 2, selection, admission,
	});
	const {classes: {queries: uncounted}} = runEmulation({
		load, seed: 2, selection: {...selection, interferenceWeight: 0, riskWeight: 0}, admission,
	});
	t.ok(counted!.pauseLate < 0.15 * counted!.asked, `${counted!.pauseLate} of ${counted!.asked}`);
	t.ok(uncounted!.pauseLate > 0.3 * uncounted!.asked, `${uncounted!.pauseLate} of ${uncounted!.asked}`);
	t.end();
});

test('a burst of drafts: what cannot be in time is turned away at first, and more of the rest is in time', t => {
	const sum = {behind: 0, inOrder: 0};
	for (const seed of [1, 2, 3]) {
		const {classes: {drafts: behind}} = runEmulation({
			load, seed, selection, admission,
		});
		const {classes: {drafts: inOrder}} = runEmulation({
			load, seed, selection, admission: {...admission, lateFactor: 1000},
		});
		t.ok(behind!.turnedAway > 0);
		t.equal(inOrder!.turnedAway, 0);
		sum.behind += behind!.worth;
		sum.inOrder += inOrder!.worth;
	}

	t.ok(sum.behind > sum.inOrder + 0.05, `worth ${sum.behind} against ${sum.inOrder} in order of arrival`);
	t.end();
});

test('engines that ask for a pause or say that they leave are heeded by every node', t => {
	for (const seed of [1, 2, 3]) {
		const {brokenNotices, classes} = runEmulation({
			load: createDraftsBesideOverload(), seed, selection, admission,
		});
		t.equal(brokenNotices, 0, `seed ${seed}`);
		t.ok(Object.values(classes).every(({worth}) => worth > 0));
	}

	t.end();
});

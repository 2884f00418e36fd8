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

test('in a burst of drafts, requests that cannot be in time are refused at first and more of the others are in time', t => {
	const sum = {withRefusal: 0, withoutRefusal: 0};
	for (const seed of [1, 2, 3]) {
		const {classes: {drafts: withRefusal}} = runEmulation({
			load, seed, selection, admission,
		});
		const {classes: {drafts: withoutRefusal}} = runEmulation({
			load, seed, selection, admission: {...admission, lateFactor: 1000},
		});
		t.ok(withRefusal!.turnedAway > 0);
		t.equal(withoutRefusal!.turnedAway, 0);
		sum.withRefusal += withRefusal!.worth;
		sum.withoutRefusal += withoutRefusal!.worth;
	}

	t.ok(sum.withRefusal > sum.withoutRefusal + 0.05, `worth ${sum.withRefusal} with early refusal, ${sum.withoutRefusal} without`);
	t.end();
});

test('every node respects cooldowns and draining signals of engines', t => {
	for (const seed of [1, 2, 3]) {
		const {brokenNotices, classes} = runEmulation({
			load: createDraftsBesideOverload(), seed, selection, admission,
		});
		t.equal(brokenNotices, 0, `seed ${seed}`);
		t.ok(Object.values(classes).every(({worth}) => worth > 0));
	}

	t.end();
});

test('all nodes together respect the limits that engines name', t => {
	const overload = createDraftsBesideOverload();
	const limits = [0, 1].map(engine => ({
		kind: 'limit' as const, engine, atMs: 5000, forMs: 15_000, factor: engine + 1,
	}));
	for (const seed of [1, 2, 3]) {
		const {excessRequests, classes} = runEmulation({
			load: {...overload, faults: limits}, seed, selection, admission,
		});
		t.equal(excessRequests, 0, `seed ${seed}`);
		t.ok(Object.values(classes).every(({worth}) => worth > 0));
	}

	t.end();
});

test('a request that crashes engines reaches no more than three after the third has crashed', t => {
	const overload = createDraftsBesideOverload();
	for (const seed of [1, 2, 3]) {
		const {crashes, lateCrashArrivals, classes} = runEmulation({
			load: {
				...overload, faults: [{
					kind: 'crashing-request', engine: 0, atMs: 5000, forMs: 12_000, factor: 5,
				}],
			}, seed, selection, admission,
		});
		t.ok(crashes >= 3 && lateCrashArrivals <= 3, `${crashes} crashes, ${lateCrashArrivals} late arrivals`);
		t.ok(Object.values(classes).every(({worth}) => worth > 0));
	}

	t.end();
});

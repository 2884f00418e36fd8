import {test} from 'tap';
import {createPausingEngines} from '@valvesaddle/emulator-loads';
import {
	canLeaveAttempt,
	runEmulation,
	type EmulationLoad,
	type EmulationReport,
	type LeavingPolicy,
	type Suspicion,
} from '@valvesaddle/emulator-fleet';

const selection = {
	interferenceWeight: 1, riskWeight: 1, reuseMs: 10_000, rereadMsPerToken: 0.3, prefillTokensPerMs: 50,
};
const admission = {lateFactor: 1.3, retryAfterFactor: 1.5, waitFactor: 0.5};
const load: EmulationLoad = {...createPausingEngines({isOverloaded: false, seed: 1}), lengthMs: 8000};

function runPolicy(leaving: LeavingPolicy, change: Partial<EmulationLoad> = {}): EmulationReport {
	return runEmulation({
		load: {...load, ...change}, seed: 1, selection, admission, leaving,
	});
}

test('each policy keeps the attempts that it names', t => {
	const suspicion: Suspicion = {
		isStalled: false, hasStarted: false, silentMs: 500, overdueMs: 400, othersSilentMs: Infinity, hereMs: 300, nextMs: 200,
	};
	const cases: ReadonlyArray<readonly [LeavingPolicy, Partial<Suspicion>, boolean]> = [
		['secured', {}, true],
		['never', {isStalled: true}, false],
		['overdue', {}, true],
		['overdue', {isStalled: true}, true],
		['overdue', {isStalled: true, silentMs: 400}, false],
		['overdue', {silentMs: 400}, true],
		['silent', {}, true],
		['silent', {othersSilentMs: 100}, false],
		['stalled', {}, false],
		['stalled', {isStalled: true}, true],
		['dark', {isStalled: true}, true],
		['dark', {}, false],
		['dark', {isStalled: true, silentMs: 400}, false],
		['patient', {isStalled: true}, false],
		['patient', {isStalled: true, silentMs: 1600}, true],
		['patient', {silentMs: 1600}, false],
		['shorter', {}, true],
		['shorter', {nextMs: 300}, false],
		['shorter', {nextMs: 300, hasStarted: true}, true],
		['shorter', {nextMs: 300, isStalled: true}, true],
	];
	for (const [policy, change, expected] of cases) {
		t.equal(canLeaveAttempt(policy, {...suspicion, ...change}), expected, `${policy} ${JSON.stringify(change)}`);
	}

	t.end();
});

test('with an empty budget, no attempt is ended on suspicion and none is answered with 502', t => {
	const {attempts, badGateway} = runPolicy('secured', {retryBudget: {ratio: 0, slack: 0}});
	t.equal(attempts.ended, 0);
	t.equal(badGateway, 0);
	t.end();
});

test('each ended attempt and each repeat is counted once', t => {
	for (const policy of ['secured', 'overdue', 'silent', 'stalled', 'dark', 'patient', 'shorter', 'never'] as const) {
		const {classes, attempts} = runPolicy(policy);
		t.equal(attempts.repeatsOfUse + attempts.repeatsLater + attempts.repeatsInVain, attempts.repeats, policy);
		t.equal(attempts.ended, attempts.repeats, policy);
		t.equal(attempts.endedForNothing, 0, policy);
		t.equal(attempts.ended > 0, policy !== 'never', policy);
		for (const report of Object.values(classes)) {
			t.equal(report.inTime + report.firstLate + report.pauseLate + report.refused + report.failed + report.abandoned, report.asked, policy);
		}
	}

	t.end();
});

test('nodes that stand still send no request again whose answer has arrived', t => {
	const faults = Array.from({length: load.nodes}, (_value, engine) => ({
		kind: 'node-pause' as const, engine, atMs: 3000 + (engine * 100), forMs: 1000, factor: 1,
	}));
	for (const seed of [1, 2, 3]) {
		const {attempts} = runEmulation({
			load: {...load, faults}, seed, selection, admission,
		});
		t.equal(attempts.endedAnswered, 0, `seed ${seed}`);
	}

	t.end();
});

test('engine pauses and foreign prompts delay answers, a pause keeps them all', t => {
	const calm = runPolicy('never', {faults: []});
	const engines = load.slowness.keys().toArray();
	const pauses = engines.map(engine => ({
		kind: 'pause' as const, engine, atMs: 4000, forMs: 1500, factor: 1,
	}));
	const paused = runPolicy('never', {faults: pauses});
	t.ok(paused.late > calm.late);
	t.equal(paused.cut, calm.cut);
	t.equal(paused.badGateway, 0);
	const prompts = engines.map(engine => ({
		kind: 'foreign-prompt' as const, engine, atMs: 4000, forMs: 0, factor: 60_000,
	}));
	const foreign = runPolicy('never', {faults: prompts});
	t.ok(foreign.late > calm.late);
	t.ok(foreign.readTokens >= calm.readTokens + (engines.length * 50_000));
	t.end();
});

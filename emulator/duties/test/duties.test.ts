import {assert, asyncProperty, integer} from 'fast-check';
import {test} from 'tap';
import {drawFaults, runDuties, type DutyFault} from '@valvesaddle/emulator-duties';

test('under random faults no two nodes share a token, no window has two different reports, and the replicas reach their target', async t => {
	await assert(asyncProperty(integer({min: 1, max: 1_000_000}), async seed => {
		const {violations} = await runDuties({seed, faults: drawFaults(seed)});
		return violations.length === 0;
	}), {numRuns: 25, seed: 11, endOnFailure: true});
	t.pass();
});

/**
Guards against an order without an answer that is carried out after a later order and replaces it.
*/
for (const seed of [19, 29, 31, 34]) {
	test(`an order that is carried out late is corrected (seed ${seed})`, async t => {
		const {violations} = await runDuties({seed, faults: drawFaults(seed)});
		t.same(violations, []);
	});
}

const holderFaults: readonly DutyFault[] = [0, 1, 2, 3].map(node => ({
	kind: 'kill', node, at: 12_000 + (6000 * node), until: 15_000 + (6000 * node),
}));

test('another node takes over within four seconds after the holder is killed, and every window is reported', async t => {
	const {violations, holders, longestGapMs} = await runDuties({seed: 3, faults: holderFaults});
	t.same(violations, []);
	t.ok(holders >= 2, 'the duty moved');
	t.ok(longestGapMs <= 5000 + 4000, `reports are sent every 5 s; the longest gap was ${longestGapMs} ms`);
});

test('a holder that resumes after a pause causes no violation', async t => {
	const faults: readonly DutyFault[] = [0, 1, 2, 3].map(node => ({
		kind: 'freeze', node, at: 9800 + (7000 * node), until: 15_300 + (7000 * node),
	}));
	const {violations} = await runDuties({seed: 5, faults});
	t.same(violations, []);
});

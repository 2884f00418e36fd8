import {test} from 'tap';
import {createDraftsBesideOverload} from '@valvesaddle/emulator-loads';
import {runEmulation} from '@valvesaddle/emulator-fleet';

const selection = {
	interferenceWeight: 1, riskWeight: 1, reuseMs: 10_000, rereadMsPerToken: 0.3, prefillTokensPerMs: 50,
};
const admission = {lateFactor: 1.3, retryAfterFactor: 1.5, waitFactor: 0.5};

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

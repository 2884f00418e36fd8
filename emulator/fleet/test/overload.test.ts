import {test} from 'tap';
import {createDraftsBesideQueries} from '@valvesaddle/emulator-loads';
import {runEmulation} from '@valvesaddle/emulator-fleet';

const selection = {
	interferenceWeight: 1, riskWeight: 1, reuseMs: 10_000, rereadMsPerToken: 0.3, prefillTokensPerMs: 50,
};
const admission = {lateFactor: 1.3, retryAfterFactor: 1.5, waitFactor: 0.5};
const load = createDraftsBesideQueries();

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

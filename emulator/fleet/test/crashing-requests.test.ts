import {test} from 'tap';
import {createDraftsBesideOverload} from '@valvesaddle/emulator-loads';
import {runEmulation} from '@valvesaddle/emulator-fleet';

const selection = {
	interferenceWeight: 1, riskWeight: 1, reuseMs: 10_000, rereadMsPerToken: 0.3, prefillTokensPerMs: 50,
};
const admission = {lateFactor: 1.3, retryAfterFactor: 1.5, waitFactor: 0.5};

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

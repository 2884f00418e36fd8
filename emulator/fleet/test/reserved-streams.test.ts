import {test} from 'tap';
import {createUnevenEngines} from '@valvesaddle/emulator-loads';
import {runEmulation, type EmulationLoad} from '@valvesaddle/emulator-fleet';

const selection = {
	interferenceWeight: 1, riskWeight: 1, reuseMs: 10_000, rereadMsPerToken: 0.3, prefillTokensPerMs: 50,
};
const admission = {lateFactor: 1.3, retryAfterFactor: 1.5, waitFactor: 0.5};
const engines = 15;

/**
The load of uneven engines at half its size, with more chats and the burst of long prompts after 2 s.
*/
function createLoad(): EmulationLoad {
	const load = createUnevenEngines(1);
	return {
		...load,
		lengthMs: 8000,
		nodes: engines,
		slowness: load.slowness.slice(0, engines),
		classes: load.classes.map(kind => ({
			...kind,
			perSecond: kind.name === 'chats' ? kind.perSecond : kind.perSecond * engines / load.slowness.length,
			bursts: kind.name === 'summaries' ? [{atMs: 2000, forMs: 6000, factor: 2}] : [],
		})),
		faults: load.faults.filter(({kind, engine}) => kind === 'slow' && engine < engines),
	};
}

test('with reserved endpoints the most urgent streams are paused less in a burst of long prompts', t => {
	const {classes: {chats: before}} = runEmulation({
		load: createLoad(), seed: 1, selection, admission,
	});
	const {classes: {chats: after, summaries, explanations}} = runEmulation({
		load: createLoad(), seed: 1, selection: {...selection, reservedShare: 0.4}, admission,
	});
	t.ok(after!.pauseLate < 0.1 * after!.asked, `${after!.pauseLate} of ${after!.asked} with reserved endpoints`);
	t.ok(after!.pauseLate / after!.asked < before!.pauseLate / before!.asked / 2, `${before!.pauseLate} of ${before!.asked} before`);
	t.ok(summaries!.worth > 0.5, `summaries ${summaries!.worth}`);
	t.ok(explanations!.worth > 0.8, `explanations ${explanations!.worth}`);
	t.end();
});

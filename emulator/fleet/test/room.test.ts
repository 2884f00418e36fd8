import {test} from 'tap';
import {createFullMemories} from '@valvesaddle/emulator-loads';
import {runEmulation, type EmulationReport} from '@valvesaddle/emulator-fleet';

const selection = {
	interferenceWeight: 1, riskWeight: 1, reuseMs: 10_000, rereadMsPerToken: 0.3, prefillTokensPerMs: 50,
};
const admission = {lateFactor: 1.3, retryAfterFactor: 1.5, waitFactor: 0.5};
const seeds = [1, 2, 3, 4];

function runSeeds(isMemoryPredicted: boolean): readonly EmulationReport[] {
	return seeds.map(seed => runEmulation({
		load: createFullMemories(), seed, selection: {...selection, isMemoryPredicted}, admission,
	}));
}

function addUp(reports: readonly EmulationReport[], pick: (report: EmulationReport) => number): number {
	return reports.reduce((sum, report) => sum + pick(report), 0);
}

test('long answers are sent to engines whose memory has room, so that none is preempted and more earn their worth', t => {
	const predicted = runSeeds(true);
	const ignored = runSeeds(false);
	t.equal(addUp(predicted, ({preempted}) => preempted), 0);
	t.ok(addUp(ignored, ({preempted}) => preempted) > 0, 'engines that have read a subject draw its digests until they preempt');
	t.ok(addUp(predicted, ({worth}) => worth) > addUp(ignored, ({worth}) => worth) + (0.05 * seeds.length));
	for (const {classes: {queries, digests}} of predicted) {
		t.ok(queries!.worth > 0.9, 'the most urgent class keeps its worth');
		t.ok(digests!.worth > 0.9);
	}

	t.end();
});

/*
Guards against many nodes with stale loads each sending a shared prompt part to another engine when the first is busy, so that
engine after engine prefills it.
*/
import {test} from 'tap';
import {createLargeFleet} from '@valvesaddle/emulator-loads';
import {runEmulation, type EmulationLoad} from '@valvesaddle/emulator-fleet';

const selection = {
	interferenceWeight: 1, riskWeight: 1, reuseMs: 10_000, rereadMsPerToken: 0.3, prefillTokensPerMs: 50,
};
const admission = {lateFactor: 1.3, retryAfterFactor: 1.5, waitFactor: 0.5};
/**
Shares of the large fleet's requests and subjects that are run here; each subject recurs about as often.
*/
const fleetShare = 0.25;
const subjectShare = 0.15;
const engines = 14;
/**
Maximum share of prefilled tokens that belong to shared parts which some engine had prefilled before.
*/
const maximumRecomputedShare = 0.05;

function createPart(): EmulationLoad {
	const large = createLargeFleet();
	return {
		...large,
		nodes: 64,
		newsMs: 250,
		intervalsPerMemberUpdate: 1,
		lengthMs: 9000,
		slowness: large.slowness.slice(0, engines),
		faults: [],
		classes: large.classes.map(kind => ({
			...kind,
			perSecond: kind.perSecond * fleetShare,
			shared: kind.shared.map(part => ({...part, subjects: Math.ceil(part.subjects * subjectShare)})),
		})),
	};
}

test('nodes with stale loads send shared parts to few engines', t => {
	const load = createPart();
	let prefilled = 0;
	let recomputed = 0;
	for (const seed of [1, 2, 3]) {
		const report = runEmulation({
			load, seed, selection, admission,
		});
		prefilled += report.readTokens;
		recomputed += report.readAgainTokens;
	}

	t.ok(recomputed <= maximumRecomputedShare * prefilled, `${recomputed} of ${prefilled} tokens`);
	t.end();
});

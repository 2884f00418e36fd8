/*
Replays a burst of long prompts against engines of three speeds, of which many nodes hear late, with and without waiting at the nodes.
*/
import {test} from 'tap';
import {createUnevenEngines} from '@valvesaddle/emulator-loads';
import {runEmulation, type EmulationLoad, type EmulationReport} from '@valvesaddle/emulator-fleet';

const selection = {
	interferenceWeight: 1, riskWeight: 1, reuseMs: 10_000, rereadMsPerToken: 0.3, prefillTokensPerMs: 50,
};
const admission = {lateFactor: 1.3, retryAfterFactor: 1.5, waitFactor: 0.5};
const engines = 5;
/**
Traffic for each engine as a multiple of that of the whole load, and the burst of long prompts in it.
*/
const factor = 2;
const burst = {atMs: 500, forMs: 4500, factor: 2.6};

function createBurst(seed: number): EmulationLoad {
	const whole = createUnevenEngines(seed);
	const share = engines / whole.slowness.length;
	return {
		...whole,
		nodes: 48,
		newsMs: 250,
		lengthMs: 5000,
		slowness: whole.slowness.slice(0, engines),
		faults: whole.faults.filter(({engine, kind}) => engine < engines && kind === 'slow'),
		classes: whole.classes.map(kind => ({
			...kind,
			perSecond: kind.perSecond * share * factor,
			bursts: kind.priority === 0 ? [] : [burst],
			shared: kind.shared.map(part => ({...part, subjects: Math.ceil(part.subjects * share)})),
		})),
	};
}

function sumOf(reports: readonly EmulationReport[], measure: (report: EmulationReport) => number): number {
	return reports.reduce((sum, report) => sum + measure(report), 0);
}

test('in a burst, requests that wait at the nodes are turned away less, earn more, and delay no urgent ones', t => {
	const seeds = [1, 2];
	const [today, waiting] = [false, true].map(isWaiting => seeds.map(seed => runEmulation({
		load: createBurst(seed), seed, selection, admission, isWaiting,
	})));
	const [refusedToday, refused] = [today!, waiting!].map(reports => sumOf(reports, ({engineRefusals}) => engineRefusals));
	t.ok(refused! < refusedToday! / 3, `engines refused ${refused}, today ${refusedToday}`);
	const [worthToday, worth] = [today!, waiting!].map(reports => sumOf(reports, report => report.worth) / seeds.length);
	t.ok(worth! > worthToday! + 0.03, `worth ${worth}, today ${worthToday}`);
	const [urgentToday, urgent] = [today!, waiting!].map(reports => sumOf(reports, ({classes}) => classes.chats!.firstLate + classes.chats!.turnedAway));
	t.equal(urgent, 0, `urgent requests late or turned away, today ${urgentToday}`);
	for (const report of waiting!) {
		t.ok(Object.values(report.classes).every(({inTime}) => inTime > 0), 'every class is served');
	}

	t.end();
});

test('each request that waits ends once', t => {
	const {classes} = runEmulation({
		load: {...createBurst(3), lengthMs: 2000}, seed: 3, selection, admission, isWaiting: true,
	});
	for (const [name, report] of Object.entries(classes)) {
		t.equal(report.inTime + report.firstLate + report.pauseLate + report.refused + report.failed + report.abandoned, report.asked, name);
	}

	t.end();
});

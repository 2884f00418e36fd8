import {Clock} from 'clock-mock';
import {test, type Test} from 'tap';
import {createCrashDetector, type CrashEvidence} from '@valvesaddle/quarantine';

/**
Longer than any evidence of a crash takes.
*/
const minuteMs = 60_000;

function startDetector(t: Test) {
	const clock = new Clock();
	t.teardown(clock.enter());
	const serving = new Set(['i-1', 'i-2']);
	const crashes: Array<readonly [endpoint: string, digests: readonly string[], evidence: CrashEvidence]> = [];
	const detector = createCrashDetector({
		isServing: endpoint => serving.has(endpoint),
		onCrash(...crash) {
			crashes.push(crash);
		},
	});
	return {
		clock, serving, crashes, detector,
	};
}

test('a broken connection alone is no crash', t => {
	const {crashes, detector} = startDetector(t);
	detector.recordBroken('i-1', 'a');
	t.same(crashes, []);
	t.end();
});

for (const evidence of ['refused', 'removed', 'restarted'] as const) {
	test(`requests whose connections broke before the process is known to have ended were running (${evidence})`, t => {
		const {crashes, detector} = startDetector(t);
		detector.recordBroken('i-1', 'a');
		detector.recordBroken('i-1', 'b');
		detector.recordBroken('i-2', 'c');
		detector.recordEnded('i-1', evidence);
		detector.recordEnded('i-1', evidence);
		t.same(crashes, [['i-1', ['a', 'b'], evidence]]);
		t.end();
	});
}

test('connections that break after the process is known to have ended count too', t => {
	const {crashes, detector, serving} = startDetector(t);
	detector.recordEnded('i-1', 'refused');
	serving.delete('i-1');
	detector.recordBroken('i-1', 'a');
	t.same(crashes, [['i-1', ['a'], 'refused']]);
	t.end();
});

test('an endpoint that removes its entry first and ends later has not crashed', t => {
	const {crashes, detector, serving} = startDetector(t);
	detector.recordEnded('i-1', 'removed');
	serving.delete('i-1');
	detector.recordBroken('i-1', 'a');
	t.same(crashes, []);
	t.end();
});

test('an endpoint that drains has not crashed, whatever its connections do', t => {
	const {crashes, detector, serving} = startDetector(t);
	detector.recordBroken('i-1', 'a');
	serving.delete('i-1');
	detector.recordBroken('i-1', 'b');
	detector.recordEnded('i-1', 'refused');
	detector.recordEnded('i-1', 'removed');
	t.same(crashes, []);
	t.end();
});

test('a connection that broke long before shows no crash', t => {
	const {clock, crashes, detector} = startDetector(t);
	detector.recordBroken('i-1', 'a');
	clock.advance(minuteMs);
	detector.recordEnded('i-1', 'removed');
	t.same(crashes, []);
	t.end();
});

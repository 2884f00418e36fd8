import {Clock} from 'clock-mock';
import fc from 'fast-check';
import {test} from 'tap';
import {createQuarantine, type CrashRow, type Quarantine} from '@valvesaddle/quarantine';

const minuteMs = 60_000;

function recordCrashes(quarantine: Quarantine, digest: string, endpoints: readonly string[]): void {
	for (const endpoint of endpoints) {
		quarantine.recordCrash(endpoint, [digest]);
	}
}

test('a request is quarantined by the third distinct endpoint that crashes while it runs it', t => {
	const quarantined: string[] = [];
	const quarantine = createQuarantine({
		onQuarantined(digest) {
			quarantined.push(digest);
		},
	});
	t.ok(quarantine.isEmpty());
	recordCrashes(quarantine, 'guilty', ['i-1', 'i-1', 'i-2']);
	t.notOk(quarantine.isQuarantined('guilty'));
	t.ok(quarantine.isSuspect('guilty'));
	recordCrashes(quarantine, 'guilty', ['i-3', 'i-4']);
	t.ok(quarantine.isQuarantined('guilty'));
	t.notOk(quarantine.isQuarantined('other'));
	t.same(quarantined, ['guilty']);
	t.end();
});

test('broken connections of the running attempt count once', t => {
	const quarantine = createQuarantine({});
	recordCrashes(quarantine, 'guilty', ['i-1', 'i-2']);
	t.notOk(quarantine.isQuarantined('guilty', new Set(['i-2'])));
	t.ok(quarantine.isQuarantined('guilty', new Set(['i-2', 'i-3'])));
	t.end();
});

test('an answer clears the crashes around it, and only those', t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const quarantine = createQuarantine({});
	recordCrashes(quarantine, 'popular', ['i-1', 'i-2']);
	quarantine.recordAnswered('popular');
	t.notOk(quarantine.isSuspect('popular'));
	recordCrashes(quarantine, 'popular', ['i-1', 'i-2', 'i-3', 'i-4']);
	t.notOk(quarantine.isQuarantined('popular'), 'a late report of a cleared crash does not count');
	recordCrashes(quarantine, 'popular', ['i-5']);
	t.notOk(quarantine.isQuarantined('popular'), 'it was answered shortly before');
	clock.advance(minuteMs);
	recordCrashes(quarantine, 'popular', ['i-6', 'i-7', 'i-8']);
	t.ok(quarantine.isQuarantined('popular'));
	t.end();
});

test('the oldest requests are dropped first, quarantined ones last', t => {
	const quarantine = createQuarantine({maximumRequests: 3});
	recordCrashes(quarantine, 'guilty', ['i-1', 'i-2', 'i-3']);
	for (let request = 0; request < 10; request++) {
		quarantine.recordCrash('i-9', [`beside-${request}`]);
	}

	t.equal(quarantine.countRequests(), 3);
	t.ok(quarantine.isQuarantined('guilty'));
	t.ok(quarantine.isSuspect('beside-9'));
	t.notOk(quarantine.isSuspect('beside-0'));
	t.end();
});

test('a quarantined request is tried twice at most, at one node and one after the other', t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const quarantine = createQuarantine({isTrialNode: () => true});
	recordCrashes(quarantine, 'guilty', ['i-1', 'i-2', 'i-3']);
	t.notOk(createQuarantine({}).takeTrial('guilty'));
	t.notOk(quarantine.takeTrial('guilty'), 'the last crash is too recent');
	clock.advance(minuteMs);
	t.ok(quarantine.takeTrial('guilty'));
	t.notOk(quarantine.takeTrial('guilty'), 'a trial is open');
	recordCrashes(quarantine, 'guilty', ['i-4']);
	clock.advance(minuteMs);
	t.ok(quarantine.takeTrial('guilty'));
	recordCrashes(quarantine, 'guilty', ['i-5']);
	clock.advance(minuteMs);
	t.notOk(quarantine.takeTrial('guilty'));
	t.end();
});

test('the answer to a trial lifts the quarantine', t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const quarantine = createQuarantine({isTrialNode: () => true});
	recordCrashes(quarantine, 'beside', ['i-1', 'i-2', 'i-3']);
	clock.advance(minuteMs);
	t.ok(quarantine.takeTrial('beside'));
	quarantine.recordAnswered('beside');
	t.notOk(quarantine.isQuarantined('beside'));
	t.notOk(quarantine.isSuspect('beside'));
	t.end();
});

const rows = fc.array(fc.tuple(fc.constantFrom('a', 'b'), fc.constantFrom('i-1', 'i-2', 'i-3', 'i-4'), fc.boolean()));

function mergeAll(parts: ReadonlyArray<readonly CrashRow[]>): Quarantine {
	const quarantine = createQuarantine({});
	for (const part of parts) {
		quarantine.merge(part);
	}

	return quarantine;
}

test('nodes that have merged the same rows in any order, once or often, agree', t => {
	fc.assert(fc.property(rows, rows, fc.constantFrom('a', 'b'), (first, second, digest) => {
		const one = mergeAll([first, second]);
		const other = mergeAll([second, first, second, one.list()]);
		return one.isQuarantined(digest) === other.isQuarantined(digest) && one.isSuspect(digest) === other.isSuspect(digest);
	}));
	t.end();
});

test('a row is reported as changed once, so that forwarding it ends', t => {
	fc.assert(fc.property(rows, sent => {
		const changes: CrashRow[] = [];
		const quarantine = createQuarantine({
			onChanged(changed) {
				changes.push(...changed);
			},
		});
		quarantine.merge(sent);
		const {length} = changes;
		quarantine.merge(sent);
		quarantine.merge(quarantine.list());
		return changes.length === length;
	}));
	t.end();
});

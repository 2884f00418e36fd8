import fc from 'fast-check';
import {test, type Test} from 'tap';
import type {Admission} from '@valvesaddle/admission';
import type {LogEvent, Logger} from '@valvesaddle/logger';
import {createMetrics} from '@valvesaddle/metrics';
import {Clock} from 'clock-mock';
import {
	createDemandTable,
	createSharing,
	decideShare,
	planPoolShares,
	restAccount,
	type AccountShare,
	type DemandRow,
	type DemandTable,
	type DemandUpdate,
	type ShareInput,
} from '@valvesaddle/demand';

const lines: LogEvent[] = [];
const write = (event: LogEvent): void => {
	lines.push(event);
};

const logger: Logger = {
	info: write, warn: write, error: write, async flush() {
		// Nothing is kept back.
	},
};

function startClock(t: Test): Clock {
	const clock = new Clock();
	t.teardown(clock.enter());
	clock.advance(60_000);
	lines.length = 0;
	return clock;
}

function createTable(countNodes = 1, isOutdated = (): boolean => false): DemandTable {
	return createDemandTable({
		windowMs: 4000, countNodes: () => countNodes, isOutdated, logger,
	});
}

function toRow(account: string, askedTokens: number, change: Partial<DemandRow> = {}): DemandRow {
	return {
		priority: 2, account, accounts: 1, askedTokens, returnedTokens: 0, servedTokens: 0, ...change,
	};
}

function toUpdate(rows: readonly DemandRow[], change: Partial<DemandUpdate> = {}): DemandUpdate {
	return {
		origin: 'n2', nodes: 1, isMember: false, demands: [{pool: 'p', contendedAgoMs: 0, rows}], unreadable: 0, ...change,
	};
}

const readAsked = (table: DemandTable): Readonly<Record<string, number>> => Object.fromEntries(table.read('p').rows.map(({account, askedTokens}) => [account, askedTokens]));

test('demand is counted in a sliding window', t => {
	const clock = startClock(t);
	const table = createTable();
	table.record('p', toRow('a', 500));
	clock.advance(2000);
	table.record('p', toRow('a', 300));
	t.same(readAsked(table), {a: 800});
	clock.advance(2500);
	t.same(readAsked(table), {a: 300});
	clock.advance(4000);
	t.same(readAsked(table), {});
	t.end();
});

test('the demand of a node that is cut off is dropped, and what is known stands for the rest', t => {
	const clock = startClock(t);
	const table = createTable(4);
	table.record('p', toRow('a', 500));
	table.apply(toUpdate([toRow('a', 700)], {nodes: 3}));
	t.same([readAsked(table), table.read('p').unseenFactor], [{a: 1200}, 1]);
	clock.advance(3100);
	t.same([readAsked(table), table.read('p').unseenFactor], [{a: 2000}, 4]);
	t.end();
});

test('only rows that changed by over a tenth are told, and all again after a silence', t => {
	const clock = startClock(t);
	const table = createTable();
	table.markContended('p');
	table.record('p', toRow('a', 1000));
	table.record('p', toRow('b', 1000));
	t.equal(table.takeForRelay('r')?.[0]?.rows.length, 2);
	t.equal(table.takeForRelay('r'), undefined, 'not due yet');
	clock.advance(500);
	table.record('p', toRow('a', 50));
	table.record('p', toRow('b', 200));
	t.same(table.takeForRelay('r')?.[0]?.rows.map(({account}) => account), ['b']);
	clock.advance(1600);
	table.markContended('p');
	t.equal(table.takeForRelay('r')?.[0]?.rows.length, 2);
	clock.advance(2001);
	t.same(table.takeForRelay('r'), [], 'the contention is over');
	clock.advance(500);
	t.equal(table.takeForRelay('r'), undefined);
	t.end();
});

test('contention is told on, but not back to where it was heard', t => {
	const clock = startClock(t);
	const [a, b] = [createTable(2), createTable(2)];
	a.markContended('p');
	b.apply(toUpdate([], {origin: 'a', demands: a.takeForRelay('b')}));
	t.ok(b.isContended('p'));
	for (let at = 0; at < 3000; at += 500) {
		clock.advance(500);
		a.apply(toUpdate([], {origin: 'b', demands: b.takeForRelay('a')}));
		b.apply(toUpdate([], {origin: 'a', demands: a.takeForRelay('b')}));
	}

	t.notOk(a.isContended('p') || b.isContended('p'));
	t.end();
});

test('a hundred thousand accounts are kept in bounded rows, and none of their tokens is lost', t => {
	startClock(t);
	const table = createTable();
	table.markContended('p');
	for (let index = 0; index < 100_000; index++) {
		table.record('p', toRow(`a${index}`, 10));
	}

	const {rows} = table.read('p');
	t.ok(rows.length <= 513, `${rows.length}`);
	t.equal(rows.reduce((sum, {askedTokens}) => sum + askedTokens, 0), 1_000_000);
	const [told] = table.takeForRelay('r') ?? [];
	t.ok((told?.rows.length ?? 0) <= 64);
	t.equal(told?.rows.reduce((sum, {askedTokens}) => sum + askedTokens, 0), 1_000_000);
	t.end();
});

test('rows of unknown accounts, of a former process and unreadable ones are dropped with a line, and harm no others', t => {
	startClock(t);
	let isOutdated = false;
	const table = createTable(2, () => isOutdated);
	table.setAccounts(new Set(['a']));
	table.apply(toUpdate([toRow('a', 10), toRow('gone', 10), toRow(restAccount, 5)], {unreadable: 3}));
	t.same(readAsked(table), {a: 10, [restAccount]: 5});
	table.apply(toUpdate([toRow('gone', 10)]));
	t.same(lines.map(line => line.name === 'demand-dropped' && [line.reason, line.rows]), [['unreadable', 3], ['unknown accounts', 1]], 'one line in a window');
	isOutdated = true;
	table.apply(toUpdate([toRow('a', 10)]));
	t.same(readAsked(table), {});
	t.match(lines.at(-1), {name: 'demand-dropped', reason: 'from a former process'});
	t.end();
});

test('an account that is removed while its requests are counted keeps its demand until the window has passed', t => {
	const clock = startClock(t);
	const table = createTable();
	const sharing = createSharing({
		table, windowMs: 4000, logger, metrics: createMetrics(),
	});
	const request = {
		id: 'r1', pool: 'p', priority: 2, account: 'a', promptTokens: 900, outputTokens: 50, isReturned: false,
	};
	sharing.configure([{name: 'a'}, {name: 'b'}]);
	clock.advance(4000);
	sharing.recordAsked(request);
	sharing.configure([{name: 'b'}]);
	sharing.recordServed(request);
	t.same(readAsked(table), {a: 1000});
	t.equal(sharing.decide(request, {costMs: 900, readMs: 50, objectiveMs: 600}, {kind: 'send'}).kind, 'send');
	t.end();
});

test('an account without a weight counts as 1, and so does an invalid weight, with a line', t => {
	startClock(t);
	const sharing = createSharing({
		table: createTable(), windowMs: 4000, logger, metrics: createMetrics(),
	});
	sharing.configure([{name: 'a'}, {name: 'b', weight: 0}, {name: 'c', weight: -2}, {name: 'd', weight: NaN}, {name: 'e', weight: 3}]);
	t.same(lines.map(line => line.name === 'account-weight-invalid' && [line.account, line.weight]), [['b', '0'], ['c', '-2'], ['d', 'NaN']]);
	t.end();
});

const input: ShareInput = {
	admission: {kind: 'send'}, priority: 2, isReturned: false, waitMs: 400, objectiveMs: 600, windowMs: 4000, draw: 0.9, spreadDraw: 0.5,
	share: {
		shareTokens: 100, askedTokens: 800, returnedTokens: 0, isCrowding: false,
	},
};

test('beyond its share an account ranks behind, and is refused when it would make others late', t => {
	const cases: ReadonlyArray<readonly [change: Partial<ShareInput>, kind: string]> = [
		[{}, 'refuse'],
		[{draw: 0.1}, 'send'],
		[{waitMs: 200}, 'send-late'],
		[{waitMs: 100}, 'send'],
		[{isReturned: true, share: {...input.share, returnedTokens: 400}}, 'send-late'],
		[{isReturned: true, share: {...input.share, returnedTokens: 100}}, 'send'],
		[{share: {...input.share, returnedTokens: 100}, draw: 0.01}, 'refuse'],
		[{share: {...input.share, shareTokens: 800}}, 'send'],
		[{waitMs: 100, share: {...input.share, isCrowding: true}}, 'refuse'],
		[{priority: 0}, 'send'],
	];
	for (const [change, kind] of cases) {
		t.equal(decideShare({...input, ...change}).admission.kind, kind, JSON.stringify(change));
	}

	const refusal = decideShare(input).admission;
	t.ok(refusal.kind === 'refuse' && refusal.retryAfterMs >= 3000 && refusal.retryAfterMs <= 5000, 'within about a window, since the share is an eighth');
	t.end();
});

test('the most urgent class, and whoever is within its share, is decided on as without shares, whatever else holds', t => {
	const amounts = fc.double({min: 0, max: 1e9, noNaN: true});
	const admissions = fc.constantFrom<Admission>({kind: 'send'}, {kind: 'send-late'}, {kind: 'refuse', retryAfterMs: 900});
	fc.assert(fc.property(fc.record({
		admission: admissions, priority: fc.nat({max: 5}), isReturned: fc.boolean(), waitMs: amounts, objectiveMs: fc.constant(600), windowMs: fc.constant(4000),
		draw: fc.double({min: 0, max: 0.999, noNaN: true}), spreadDraw: fc.double({min: 0, max: 0.999, noNaN: true}), isCrowding: fc.boolean(), askedTokens: amounts, returnedPart: fc.double({min: 0, max: 1, noNaN: true}), shareTokens: amounts,
	}), ({askedTokens, returnedPart, shareTokens, isCrowding, ...rest}) => {
		const share: AccountShare = {
			askedTokens, returnedTokens: askedTokens * returnedPart, shareTokens, isCrowding,
		};
		const {admission, isWithinShare} = decideShare({...rest, share});
		const isAsBefore = admission === rest.admission;
		return (rest.priority > 0 && shareTokens < askedTokens) || (isAsBefore && isWithinShare);
	}));
	t.end();
});

test('no account starves in a class that is served, and less urgent classes keep their floors', t => {
	const rows = fc.uniqueArray(fc.record({
		priority: fc.nat({max: 4}), account: fc.constantFrom('a', 'b', 'c', 'd', 'e'), askedTokens: fc.integer({min: 1, max: 1e6}),
	}), {selector: ({priority, account}) => `${priority} ${account}`, maxLength: 20}).map(list => list.map(({account, askedTokens, priority}) => toRow(account, askedTokens, {priority})));
	fc.assert(fc.property(rows, fc.integer({min: 1, max: 5e6}), (list, capacityTokens) => {
		const shares = planPoolShares({
			rows: list, weights: new Map([['a', 3]]), capacityTokens, waiting: new Set(),
		});
		const urgentTokens = list.filter(({priority}) => priority === 0).reduce((sum, {askedTokens}) => sum + askedTokens, 0);
		return list.every(({priority, account}) => {
			const shareTokens = shares.get(`${priority} ${account}`)?.shareTokens ?? 0;
			return shareTokens > 0 || (priority > 0 && urgentTokens >= capacityTokens);
		});
	}));
	t.end();
});

test('a refused request is traced by a line with its account, share and demand', t => {
	const clock = startClock(t);
	const table = createTable();
	const sharing = createSharing({
		table, windowMs: 4000, logger, metrics: createMetrics(), drawNumber: () => 0.9,
	});
	const request = {
		id: 'r1', pool: 'p', priority: 2, account: 'a', promptTokens: 1000, outputTokens: 0, isReturned: false,
	};
	clock.advance(4000);
	for (let index = 0; index < 8; index++) {
		sharing.recordAsked(request);
	}

	sharing.recordServed(request);
	const prediction = {costMs: 900, readMs: 100, objectiveMs: 600};
	t.equal(sharing.decide(request, prediction, {kind: 'send'}).kind, 'refuse');
	t.match(lines, [{
		name: 'request-share', request: 'r1', account: 'a', priority: 2, kind: 'refuse', shareTokens: 900, askedTokens: 8000, capacityTokens: 900,
	}]);
	t.equal(sharing.decide({...request, pool: 'q'}, {...prediction, costMs: 200}, {kind: 'send'}).kind, 'send', 'another pool has room');
	t.equal(sharing.decide({...request, priority: 0}, prediction, {kind: 'send'}).kind, 'send');
	t.equal(lines.length, 1);
	t.end();
});

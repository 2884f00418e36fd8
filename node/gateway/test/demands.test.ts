/*
Demands travel with load updates; what cannot be read of them harms nothing else.
*/
import fc from 'fast-check';
import {test} from 'tap';
import {createDemandTable, type DemandTable} from '@valvesaddle/demand';
import type {LogEvent} from '@valvesaddle/logger';
import {createSelector} from '@valvesaddle/selection';
import {Clock} from 'clock-mock';
import {createLoadSync} from '../src/create-load-sync.ts';
import {formatDemands} from '../src/format-demands.ts';
import {isFormerProcess} from '../src/is-former-process.ts';
import {parseDemands} from '../src/parse-demands.ts';
import {parseLoadUpdate} from '../src/parse-load-update.ts';

const row: readonly unknown[] = [2, 'sawmill', 1, 900, 0, 300];
const toMessage = (demands?: unknown): unknown => ({
	nodes: 1, loads: [['i-1', 2, [], 0, 0, 0, 0, 0]], placements: [], ...(demands !== undefined && {demands}),
});

test('an update without demands is read as before, and one with them has the same loads', t => {
	t.same(parseDemands(toMessage()), {demands: undefined, unreadable: 0});
	t.same(parseLoadUpdate(toMessage([['p', 40, [row]]])), parseLoadUpdate(toMessage()));
	t.end();
});

test('rows out of range or of a wrong form are left out, one by one', t => {
	const malformed = [[], row.slice(1), [...row, 0], row.with(0, -1), row.with(1, 5), row.with(1, 'x'.repeat(300)), row.with(2, 1e9), row.with(3, -1), row.with(3, 1e300), row.with(4, null), row.with(5, '2'), 'x', null];
	const {demands, unreadable} = parseDemands(toMessage([['p', 40, [row, ...malformed, row]], ['q', -1, []]]));
	t.same([demands?.map(({pool, contendedAgoMs, rows}) => [pool, contendedAgoMs, rows.length]), unreadable], [[['p', 40, 2], ['q', undefined, 0]], malformed.length]);
	for (const value of ['x', 3, {}, null]) {
		t.same(parseDemands(toMessage(value)).unreadable, 1);
	}

	t.equal(parseDemands(toMessage([['p', -7, [row]], ['p', 'x', []], [], ['p', 1, {}]])).unreadable, 4);
	t.equal(parseDemands(toMessage([['p', 1, Array.from({length: 5000}, () => row)]])).unreadable, 4744);
	t.end();
});

test('any demands are read or left out, and what is read can be told again', t => {
	fc.assert(fc.property(fc.oneof(fc.jsonValue(), fc.array(fc.tuple(fc.string(), fc.integer(), fc.array(fc.oneof(fc.constant(row), fc.jsonValue()))))), value => {
		const {demands} = parseDemands({demands: value});
		return parseDemands({demands: formatDemands(demands ?? [])}).unreadable === 0;
	}));
	t.end();
});

test('a former process of a node is told by its name', t => {
	t.equal(isFormerProcess('n1.aa', ['n1.bb', 'n2.cc']), true);
	t.equal(isFormerProcess('n1.aa', ['n1.aa', 'n1.bb']), false);
	t.equal(isFormerProcess('n1.aa', ['n11.bb']), false, 'a node that is not known yet');
	t.equal(isFormerProcess('n1', ['n1.bb']), false);
	t.end();
});

test('nodes tell each other their demands with load updates while a pool is contended, and only then', t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const lines: LogEvent[] = [];
	const write = (event: LogEvent): void => {
		lines.push(event);
	};

	const messages: unknown[] = [];
	const createNode = (self: string, other: string) => {
		const table: DemandTable = createDemandTable({
			windowMs: 4000,
			countNodes: () => 2,
			isOutdated: () => false,
			logger: {
				info: write, warn: write, error: write, async flush() {
					// Nothing is kept back.
				},
			},
		});
		let updates = 0;
		const selector = createSelector({
			interferenceWeight: 1, riskWeight: 1, reuseMs: 10_000, rereadMsPerToken: 0.3, prefillTokensPerMs: 50,
		});
		const sync = createLoadSync({
			node: self,
			links: {isRelay: () => true, listRelays: () => [other], listMembers: () => []},
			selector: {
				...selector, takeLoadUpdate: () => ({
					loads: [], placements: [{
						endpoint: 'i-1', pool: 'p', parts: [], tokens: updates++,
					}],
				}),
			},
			countNodes: () => 2,
			demandTable: table,
			network: {
				isReady: () => true,
				notify(_node, _method, message) {
					messages.push(message);
				},
			},
		});
		return {table, sync};
	};

	const [a, b] = [createNode('a.1', 'b.1'), createNode('b.1', 'a.1')];
	const readAsked = (): readonly number[] => b.table.read('p').rows.map(({askedTokens}) => askedTokens);
	a.table.record('p', {
		priority: 2, account: 'sawmill', accounts: 1, askedTokens: 900, returnedTokens: 0, servedTokens: 0,
	});
	a.sync.send(true);
	t.notMatch(messages.at(-1), {demands: []}, 'nothing is told while nobody sees contention');
	a.table.markContended('p');
	clock.advance(500);
	a.sync.send(true);
	b.sync.applyLoadUpdate(messages.at(-1), 'a.1');
	t.same(readAsked(), [900]);
	t.ok(b.table.isContended('p'));
	b.sync.applyLoadUpdate(toMessage('x'), 'a.1');
	t.same([readAsked(), lines.length], [[900], 1], 'demands that cannot be read change nothing');
	b.sync.removeLink('a.1');
	t.same(readAsked(), []);
	t.end();
});

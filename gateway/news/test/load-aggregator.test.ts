import {test} from 'tap';
import {noLoad, type EndpointLoad, type Placement} from '@valvesaddle/selection';
import {createLoadAggregator, type LoadAggregator, type OriginLoadUpdate} from '@valvesaddle/news';

function toLoad(open: number): EndpointLoad {
	return {
		open, unread: [0, open * 100], sensitivity: open / 4, witnesses: 0, silent: 0, readTokens: open * 10, readMs: open,
	};
}

function createNews(origin: string, open: number, change: Partial<OriginLoadUpdate> = {}): OriginLoadUpdate {
	return {
		origin, nodes: 1, loads: [['i-1', toLoad(open)]], placements: [], ...change,
	};
}

const placement: Placement = {
	endpoint: 'i-1', pool: 'p', parts: ['shared'], tokens: 600,
};

/**
A relay with links that were told all there was to tell at first.
*/
function createLinkedRelay() {
	const relay = createLoadAggregator({node: 'r1'});
	relay.takeForRelay('r9');
	relay.takeForMember('n9');
	return relay;
}

test('other relays are told one sum for a relay and its members', t => {
	const relay = createLinkedRelay();
	relay.addOwn({loads: [['i-1', toLoad(1)]], placements: []});
	relay.addMember(createNews('n1', 2, {placements: [placement]}));
	relay.addMember(createNews('n2', 4));
	t.same(relay.takeForRelay('r9'), {
		origin: 'r1', nodes: 3, loads: [['i-1', toLoad(7)]], placements: [placement],
	});
	t.equal(relay.takeForRelay('r9'), undefined, 'nothing has changed since');
	t.end();
});

test('what one relay tells is not passed on to other relays', t => {
	const relay = createLinkedRelay();
	relay.addGroup(createNews('r2', 9, {nodes: 10}));
	t.equal(relay.takeForRelay('r9'), undefined);
	t.equal(relay.takeForRelay('r8')?.nodes, 1);
	relay.removeLink('r8');
	t.same(relay.takeForRelay('r8')?.loads, []);
	t.end();
});

test('a member is told one sum for all nodes but itself, each endpoint as it is last known', t => {
	const relay = createLinkedRelay();
	relay.addOwn({loads: [['i-1', toLoad(1)]], placements: []});
	relay.addMember(createNews('n9', 16, {loads: [['i-1', toLoad(16)], ['i-2', toLoad(16)]]}));
	relay.addMember(createNews('n1', 2));
	relay.addMember(createNews('n1', 4, {placements: [placement]}));
	relay.addGroup(createNews('r2', 8, {nodes: 10}));
	t.same(relay.takeForMember('n9'), {
		origin: 'r1', nodes: 12, loads: [['i-1', toLoad(13)], ['i-2', toLoad(0)]], placements: [placement],
	});
	t.equal(relay.takeForMember('n9'), undefined, 'nothing has changed since');
	t.same(relay.takeForMember('n8'), {
		origin: 'r1', nodes: 13, loads: [['i-1', toLoad(29)], ['i-2', toLoad(16)]], placements: [],
	});
	t.end();
});

test('the work of a member that is lost leaves the sums for relays and for members', t => {
	const relay = createLinkedRelay();
	relay.addMember(createNews('n1', 2));
	relay.addMember(createNews('n2', 4));
	relay.takeForRelay('r9');
	relay.takeForMember('n9');
	relay.removeOrigin('n1');
	t.same(relay.takeForRelay('r9'), createNews('r1', 4, {nodes: 2}));
	t.same(relay.takeForMember('n9'), createNews('r1', 4, {nodes: 2}));
	t.end();
});

test('a relay that is lost leaves the sum for members, and what it has told again counts anew', t => {
	const relay = createLinkedRelay();
	relay.addGroup(createNews('r2', 9, {nodes: 10, loads: [['i-1', toLoad(9)], ['i-2', toLoad(3)]]}));
	relay.takeForMember('n9');
	relay.removeOrigin('r2');
	t.equal(relay.takeForRelay('r9'), undefined);
	relay.addGroup(createNews('r2', 4, {nodes: 2}));
	t.same(relay.takeForMember('n9'), createNews('r1', 4, {nodes: 3, loads: [['i-1', toLoad(4)], ['i-2', noLoad]]}));
	relay.removeOrigin('r2');
	t.same(relay.takeForMember('n9'), createNews('r1', 0, {loads: [['i-1', noLoad]]}));
	relay.removeOrigin('r2');
	t.equal(relay.takeForMember('n9'), undefined);
	t.end();
});

test('a link that could take nothing for a while is told the last word on each endpoint, others as it came', t => {
	const relay = createLinkedRelay();
	relay.takeForMember('n8');
	for (let open = 1; open <= 1000; open++) {
		relay.addMember(createNews('n1', open, {placements: [placement]}));
		t.same(relay.takeForMember('n8'), createNews('r1', open, {nodes: 2, placements: [placement]}));
	}

	const late = relay.takeForMember('n9');
	t.same(late?.loads, [['i-1', toLoad(1000)]]);
	t.equal(late?.placements.length, 64);
	t.equal(relay.takeForRelay('r9')?.placements.length, 64);
	t.end();
});

test('one message tells of so many endpoints at most, the longest waiting first, and none is left out', t => {
	const relay = createLinkedRelay();
	const ids = Array.from({length: 450}, (_value, index) => `i-${index}`);
	relay.addMember(createNews('n1', 1, {loads: ids.map(id => [id, toLoad(1)])}));
	const told = [1, 2, 3].map(() => relay.takeForMember('n9')?.loads.map(([id]) => id) ?? []);
	t.same(told.map(({length}) => length), [200, 200, 50]);
	t.same(told.flat(), ids);
	t.equal(relay.takeForMember('n9'), undefined);
	t.end();
});

function toWork(origin: string, open: number, ids: readonly string[] = ['i-1']): OriginLoadUpdate {
	return {
		origin, nodes: 1, loads: ids.map(id => [id, {...noLoad, open}]), placements: [],
	};
}

/**
What a linked node knows by a relay, from all messages that it took.
*/
function createEar(take: () => OriginLoadUpdate | undefined) {
	const known = new Map<string, EndpointLoad>();
	return (): Readonly<Record<string, number>> => {
		for (let news = take(); news !== undefined; news = take()) {
			for (const [id, load] of news.loads) {
				known.set(id, load);
			}
		}

		return Object.fromEntries(known.entries().filter(([, {open}]) => open > 0).map(([id, {open}]) => [id, open]));
	};
}

test('a member that becomes a relay is no longer counted by the one that told of it before', t => {
	const relay = createLoadAggregator({node: 'r1'});
	const hear = createEar(() => relay.takeForRelay('r9'));
	relay.addMember(toWork('n1', 5, ['i-1', 'i-2']));
	t.same(hear(), {'i-1': 5, 'i-2': 5});
	// It tells r9 itself from now on; here it changes at one endpoint only.
	relay.addGroup(toWork('n1', 6));
	t.same(hear(), {}, 'r9 hears n1 itself');
	t.end();
});

test('a relay that becomes a member is counted with all its work by the one that tells of it now', t => {
	const relay = createLoadAggregator({node: 'r1'});
	const hear = createEar(() => relay.takeForRelay('r9'));
	relay.addGroup(toWork('n1', 5, ['i-1', 'i-2']));
	t.same(hear(), {});
	relay.addMember(toWork('n1', 6));
	t.same(hear(), {'i-1': 6, 'i-2': 5});
	t.end();
});

test('a linked member that becomes a relay, and one that becomes a member again, keep nothing of what they were told before', t => {
	const relay: LoadAggregator = createLoadAggregator({node: 'r1'});
	let isMember = true;
	const hear = createEar(() => isMember ? relay.takeForMember('x') : relay.takeForRelay('x'));
	relay.addMember(toWork('n1', 2));
	relay.addGroup(toWork('r2', 7, ['i-1', 'i-2']));
	t.same(hear(), {'i-1': 9, 'i-2': 7});
	isMember = false;
	t.same(hear(), {'i-1': 2}, 'r2 tells x of its own work itself');
	isMember = true;
	relay.addMember(toWork('n1', 3));
	t.same(hear(), {'i-1': 10, 'i-2': 7});
	isMember = false;
	t.same(hear(), {'i-1': 3});
	t.end();
});

test('an incarnation that is gone is told to nobody any more, linked now or later', t => {
	const relay = createLinkedRelay();
	relay.addOwn({loads: [['i-1', toLoad(1)], ['i-2', toLoad(1)]], placements: [placement]});
	relay.addMember(createNews('n1', 2));
	relay.addGroup(createNews('r2', 4));
	relay.removeEndpoint('i-1');
	t.match(relay.takeForRelay('r9'), {loads: [['i-2', toLoad(1)]], placements: []});
	t.match(relay.takeForMember('n9'), {loads: [['i-2', toLoad(1)]], placements: []});
	t.same(relay.takeForMember('new')?.loads, [['i-2', toLoad(1)]]);
	relay.addMember(createNews('n1', 3));
	t.same(relay.takeForRelay('r9')?.loads, [['i-1', toLoad(3)]], 'sums of what was told since');
	t.end();
});

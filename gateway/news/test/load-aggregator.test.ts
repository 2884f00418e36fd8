import {test} from 'tap';
import {noLoad, type EndpointLoad, type Placement} from '@valvesaddle/selection';
import {createLoadAggregator, type LoadAggregator, type OriginLoadUpdate} from '@valvesaddle/news';

function toLoad(open: number): EndpointLoad {
	return {
		open, pendingPrefill: [0, open * 100], sensitivity: open / 4, observers: 0, stalledObservers: 0, prefilledTokens: open * 10, prefillMs: open, protectedStreams: open * 2, memoryTokens: open * 1000,
	};
}

function createUpdate(origin: string, open: number, change: Partial<OriginLoadUpdate> = {}): OriginLoadUpdate {
	return {
		origin, nodes: 1, loads: [['i-1', toLoad(open)]], placements: [], ...change,
	};
}

const placement: Placement = {
	endpoint: 'i-1', pool: 'p', parts: ['shared'], tokens: 600,
};

/**
An aggregator whose links were already sent their first update.
*/
function createLinkedAggregator() {
	const aggregator = createLoadAggregator({node: 'r1'});
	aggregator.takeForRelay('r9');
	aggregator.takeForMember('n9');
	return aggregator;
}

test('other relays are sent one sum for a relay and its members', t => {
	const aggregator = createLinkedAggregator();
	aggregator.addOwn({loads: [['i-1', toLoad(1)]], placements: []});
	aggregator.addMember(createUpdate('n1', 2, {placements: [placement]}));
	aggregator.addMember(createUpdate('n2', 4));
	t.same(aggregator.takeForRelay('r9'), {
		origin: 'r1', nodes: 3, loads: [['i-1', toLoad(7)]], placements: [placement],
	});
	t.equal(aggregator.takeForRelay('r9'), undefined, 'nothing has changed since');
	t.end();
});

test('the update of one relay is not forwarded to other relays', t => {
	const aggregator = createLinkedAggregator();
	aggregator.addGroup(createUpdate('r2', 9, {nodes: 10}));
	t.equal(aggregator.takeForRelay('r9'), undefined);
	t.equal(aggregator.takeForRelay('r8')?.nodes, 1);
	aggregator.removeLink('r8');
	t.same(aggregator.takeForRelay('r8')?.loads, []);
	t.end();
});

test('a member is sent one sum for all nodes except itself, with the latest load of each endpoint', t => {
	const aggregator = createLinkedAggregator();
	aggregator.addOwn({loads: [['i-1', toLoad(1)]], placements: []});
	aggregator.addMember(createUpdate('n9', 16, {loads: [['i-1', toLoad(16)], ['i-2', toLoad(16)]]}));
	aggregator.addMember(createUpdate('n1', 2));
	aggregator.addMember(createUpdate('n1', 4, {placements: [placement]}));
	aggregator.addGroup(createUpdate('r2', 8, {nodes: 10}));
	t.same(aggregator.takeForMember('n9'), {
		origin: 'r1', nodes: 12, loads: [['i-1', toLoad(13)], ['i-2', toLoad(0)]], placements: [placement],
	});
	t.equal(aggregator.takeForMember('n9'), undefined, 'nothing has changed since');
	t.same(aggregator.takeForMember('n8'), {
		origin: 'r1', nodes: 13, loads: [['i-1', toLoad(29)], ['i-2', toLoad(16)]], placements: [],
	});
	t.end();
});

test('the load of a lost member is removed from the sums for relays and for members', t => {
	const aggregator = createLinkedAggregator();
	aggregator.addMember(createUpdate('n1', 2));
	aggregator.addMember(createUpdate('n2', 4));
	aggregator.takeForRelay('r9');
	aggregator.takeForMember('n9');
	aggregator.removeOrigin('n1');
	t.same(aggregator.takeForRelay('r9'), createUpdate('r1', 4, {nodes: 2}));
	t.same(aggregator.takeForMember('n9'), createUpdate('r1', 4, {nodes: 2}));
	t.end();
});

test('the load of a lost relay is removed from the sum for members, and only its later updates count when it returns', t => {
	const aggregator = createLinkedAggregator();
	aggregator.addGroup(createUpdate('r2', 9, {nodes: 10, loads: [['i-1', toLoad(9)], ['i-2', toLoad(3)]]}));
	aggregator.takeForMember('n9');
	aggregator.removeOrigin('r2');
	t.equal(aggregator.takeForRelay('r9'), undefined);
	aggregator.addGroup(createUpdate('r2', 4, {nodes: 2}));
	t.same(aggregator.takeForMember('n9'), createUpdate('r1', 4, {nodes: 3, loads: [['i-1', toLoad(4)], ['i-2', noLoad]]}));
	aggregator.removeOrigin('r2');
	t.same(aggregator.takeForMember('n9'), createUpdate('r1', 0, {loads: [['i-1', noLoad]]}));
	aggregator.removeOrigin('r2');
	t.equal(aggregator.takeForMember('n9'), undefined);
	t.end();
});

test('a slow link is sent only the latest load of each endpoint, other links are sent each change', t => {
	const aggregator = createLinkedAggregator();
	aggregator.takeForMember('n8');
	for (let open = 1; open <= 1000; open++) {
		aggregator.addMember(createUpdate('n1', open, {placements: [placement]}));
		t.same(aggregator.takeForMember('n8'), createUpdate('r1', open, {nodes: 2, placements: [placement]}));
	}

	const late = aggregator.takeForMember('n9');
	t.same(late?.loads, [['i-1', toLoad(1000)]]);
	t.equal(late?.placements.length, 64);
	t.equal(aggregator.takeForRelay('r9')?.placements.length, 64);
	t.end();
});

test('an update is limited in its endpoints, sends the longest waiting first and leaves none out', t => {
	const aggregator = createLinkedAggregator();
	const ids = Array.from({length: 450}, (_value, index) => `i-${index}`);
	aggregator.addMember(createUpdate('n1', 1, {loads: ids.map(id => [id, toLoad(1)])}));
	const sent = [1, 2, 3].map(() => aggregator.takeForMember('n9')?.loads.map(([id]) => id) ?? []);
	t.same(sent.map(({length}) => length), [200, 200, 50]);
	t.same(sent.flat(), ids);
	t.equal(aggregator.takeForMember('n9'), undefined);
	t.end();
});

function toLoadUpdate(origin: string, open: number, ids: readonly string[] = ['i-1']): OriginLoadUpdate {
	return {
		origin, nodes: 1, loads: ids.map(id => [id, {...noLoad, open}]), placements: [],
	};
}

/**
Open requests by endpoint, as a linked node has them after all updates so far.
*/
function createReceiver(take: () => OriginLoadUpdate | undefined) {
	const received = new Map<string, EndpointLoad>();
	return (): Readonly<Record<string, number>> => {
		for (let update = take(); update !== undefined; update = take()) {
			for (const [id, load] of update.loads) {
				received.set(id, load);
			}
		}

		return Object.fromEntries(received.entries().filter(([, {open}]) => open > 0).map(([id, {open}]) => [id, open]));
	};
}

test('a member that becomes a relay is removed from the sum of its former relay', t => {
	const aggregator = createLoadAggregator({node: 'r1'});
	const readOpen = createReceiver(() => aggregator.takeForRelay('r9'));
	aggregator.addMember(toLoadUpdate('n1', 5, ['i-1', 'i-2']));
	t.same(readOpen(), {'i-1': 5, 'i-2': 5});
	// From now on n1 sends its load to r9 itself. Its update has one endpoint only.
	aggregator.addGroup(toLoadUpdate('n1', 6));
	t.same(readOpen(), {}, 'r9 receives the load of n1 directly');
	t.end();
});

test('the whole load of a relay that becomes a member is added to the sum of its new relay', t => {
	const aggregator = createLoadAggregator({node: 'r1'});
	const readOpen = createReceiver(() => aggregator.takeForRelay('r9'));
	aggregator.addGroup(toLoadUpdate('n1', 5, ['i-1', 'i-2']));
	t.same(readOpen(), {});
	aggregator.addMember(toLoadUpdate('n1', 6));
	t.same(readOpen(), {'i-1': 6, 'i-2': 5});
	t.end();
});

test('a linked node that changes between member and relay keeps no loads from its former role', t => {
	const aggregator: LoadAggregator = createLoadAggregator({node: 'r1'});
	let isMember = true;
	const readOpen = createReceiver(() => isMember ? aggregator.takeForMember('x') : aggregator.takeForRelay('x'));
	aggregator.addMember(toLoadUpdate('n1', 2));
	aggregator.addGroup(toLoadUpdate('r2', 7, ['i-1', 'i-2']));
	t.same(readOpen(), {'i-1': 9, 'i-2': 7});
	isMember = false;
	t.same(readOpen(), {'i-1': 2}, 'r2 sends x its own load directly');
	isMember = true;
	aggregator.addMember(toLoadUpdate('n1', 3));
	t.same(readOpen(), {'i-1': 10, 'i-2': 7});
	isMember = false;
	t.same(readOpen(), {'i-1': 3});
	t.end();
});

test('a removed incarnation is no longer sent, neither on present nor on new links', t => {
	const aggregator = createLinkedAggregator();
	aggregator.addOwn({loads: [['i-1', toLoad(1)], ['i-2', toLoad(1)]], placements: [placement]});
	aggregator.addMember(createUpdate('n1', 2));
	aggregator.addGroup(createUpdate('r2', 4));
	aggregator.removeEndpoint('i-1');
	t.match(aggregator.takeForRelay('r9'), {loads: [['i-2', toLoad(1)]], placements: []});
	t.match(aggregator.takeForMember('n9'), {loads: [['i-2', toLoad(1)]], placements: []});
	t.same(aggregator.takeForMember('new')?.loads, [['i-2', toLoad(1)]]);
	aggregator.addMember(createUpdate('n1', 3));
	t.same(aggregator.takeForRelay('r9')?.loads, [['i-1', toLoad(3)]], 'sums include only loads added since');
	t.end();
});

test('evidence is summed for a relay, and a member is sent that of all others', t => {
	const aggregator = createLinkedAggregator();
	const createEvidence = (origin: string, answers: number): OriginLoadUpdate => ({
		origin, nodes: 1, placements: [], loads: [['i-1', {
			...noLoad, evidence: {
				answers, failures: answers / 2, timedAnswers: answers, serviceMs: 30 * answers,
			},
		}]],
	});
	aggregator.addMember(createEvidence('n1', 2));
	aggregator.addMember(createEvidence('n2', 4));
	t.same(aggregator.takeForRelay('r9')?.loads[0]?.[1].evidence, {
		answers: 6, failures: 3, timedAnswers: 6, serviceMs: 180,
	});
	t.same(aggregator.takeForMember('n1')?.loads[0]?.[1].evidence, createEvidence('n2', 4).loads[0]?.[1].evidence);
	t.end();
});

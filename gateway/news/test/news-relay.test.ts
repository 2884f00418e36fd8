import {test} from 'tap';
import type {EndpointLoad, Placement} from '@valvesaddle/selection';
import {createNewsRelay, type OriginNews} from '@valvesaddle/news';

function toLoad(open: number): EndpointLoad {
	return {
		open, unread: [0, open * 100], sensitivity: open / 4, witnesses: 0, silent: 0, readTokens: open * 10, readMs: open,
	};
}

function createNews(origin: string, open: number, change: Partial<OriginNews> = {}): OriginNews {
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
	const relay = createNewsRelay({node: 'r1'});
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

test('members are told of every origin, each load as it is last known', t => {
	const relay = createLinkedRelay();
	relay.addMember(createNews('n1', 2));
	relay.addMember(createNews('n1', 3, {placements: [placement]}));
	relay.addGroup(createNews('r2', 9, {nodes: 10}));
	t.same(relay.takeForMember('n9'), [createNews('n1', 3, {placements: [placement]}), createNews('r2', 9, {nodes: 10})]);
	t.same(relay.takeForMember('n9'), []);
	t.same(relay.takeForMember('n8').map(({origin, nodes}) => [origin, nodes]), [['r1', 1], ['n1', 1], ['r2', 10]]);
	t.end();
});

test('the work of a member that is lost leaves the sum and is taken back from members', t => {
	const relay = createLinkedRelay();
	relay.addMember(createNews('n1', 2));
	relay.addMember(createNews('n2', 4));
	relay.takeForRelay('r9');
	relay.takeForMember('n9');
	relay.removeOrigin('n1');
	t.same(relay.takeForRelay('r9'), createNews('r1', 4, {nodes: 2}));
	t.same(relay.takeForMember('n9'), [{
		origin: 'n1', nodes: 0, loads: [], placements: [],
	}]);
	t.end();
});

test('a relay that is lost is taken back from members', t => {
	const relay = createLinkedRelay();
	relay.addGroup(createNews('r2', 9, {nodes: 10}));
	relay.removeOrigin('r2');
	t.equal(relay.takeForRelay('r9'), undefined);
	t.same(relay.takeForMember('n9').map(({origin, nodes}) => [origin, nodes]), [['r2', 0]]);
	relay.removeOrigin('r2');
	t.same(relay.takeForMember('n9'), []);
	t.end();
});

test('a link that could take nothing for a while is told the last word on each endpoint, others as it came', t => {
	const relay = createLinkedRelay();
	relay.takeForMember('n8');
	for (let open = 1; open <= 1000; open++) {
		relay.addMember(createNews('n1', open, {placements: [placement]}));
		t.same(relay.takeForMember('n8'), [createNews('n1', open, {placements: [placement]})]);
	}

	const [late, ...others] = relay.takeForMember('n9');
	t.same(others, []);
	t.same(late?.loads, [['i-1', toLoad(1000)]]);
	t.equal(late?.placements.length, 64);
	t.equal(relay.takeForRelay('r9')?.placements.length, 256);
	t.end();
});

test('an origin that is lost and found again before a link is told is told as found', t => {
	const relay = createLinkedRelay();
	relay.addGroup(createNews('r2', 9, {nodes: 10, loads: [['i-1', toLoad(9)], ['i-2', toLoad(3)]]}));
	relay.takeForMember('n9');
	relay.removeOrigin('r2');
	relay.addGroup(createNews('r2', 4, {nodes: 2}));
	t.same(relay.takeForMember('n9').map(({origin, nodes}) => [origin, nodes]), [['r2', 0], ['r2', 2]], 'what it no longer has is taken back first');
	t.end();
});

import {test} from 'tap';
import {createUsageSync} from '../src/create-usage-sync.ts';

const windowMs = 5000;

function createRelay() {
	const sent: Array<readonly [string, unknown]> = [];
	const followers: string[] = ['r1'];
	const usage = createUsageSync({
		node: 'r0',
		network: {
			notify(node, _method, parameters) {
				sent.push([node, parameters]);
			},
		},
		links: {isRelay: node => node.startsWith('r'), parent: () => undefined, listFollowers: () => followers},
		windowMs,
		toUnixTime: () => 10 * windowMs,
	});
	return {usage, sent, followers};
}

/**
Guards against usage reports that lack requests, by a new candidate that acquires the duties.
*/
test('a new candidate is sent all rows, not only changed ones', t => {
	const {usage, sent, followers} = createRelay();
	usage.count('sawmill', 0);
	usage.send();
	usage.apply({rows: [['n7', 10, 'depot', 3]]}, 'n7');
	usage.send();
	t.same(sent.splice(0), [
		['r1', {rows: [['r0', 10, 'sawmill', 1]]}],
		['r1', {rows: [['n7', 10, 'depot', 3]]}],
	]);
	followers.push('r2');
	usage.send();
	t.same(sent, [['r2', {rows: [['r0', 10, 'sawmill', 1], ['n7', 10, 'depot', 3]]}]]);
	t.end();
});

test('rows of a relay are not forwarded, and unchanged rows are not sent again', t => {
	const {usage, sent} = createRelay();
	usage.apply({rows: [['n9', 10, 'depot', 3]]}, 'r1');
	usage.send();
	sent.length = 0;
	usage.apply({rows: [['n7', 10, 'depot', 2]]}, 'n7');
	usage.send();
	usage.apply({rows: [['n7', 10, 'depot', 2]]}, 'n7');
	usage.send();
	t.same(sent, [['r1', {rows: [['n7', 10, 'depot', 2]]}]]);
	t.same(usage.counters.sum(10), {depot: 5});
	t.throws(() => {
		usage.apply({rows: [['n7', 10, 'depot', -2]]}, 'n7');
	});
	t.end();
});

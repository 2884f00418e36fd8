import {test} from 'tap';
import {measureCapacity} from '../src/measure-capacity.ts';

const node = {
	name: 'n', data_centre: 'a', region: 'r', cpu_share: 0.5, core_speed: 2, link_mbps: 1000,
};

test('the scarcer of CPU and link bandwidth limits the capacity of a node', t => {
	t.equal(measureCapacity(node), 1);
	t.equal(measureCapacity({...node, link_mbps: 6.5}), 0.1);
	t.equal(measureCapacity({...node, link_mbps: 200}), 1);
	t.ok(measureCapacity({...node, cpu_share: 0.162, link_mbps: 10}) > measureCapacity({...node, cpu_share: 0.162, link_mbps: 7}));
	t.end();
});

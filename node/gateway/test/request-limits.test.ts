import {test} from 'tap';
import {behaviours} from '@valvesaddle/fake-endpoint';
import {waitUntil} from '@valvesaddle/fake-fleet';
import {startPlatform} from './start-platform.ts';

const calls = 30;
/**
Requests that an endpoint may get beyond its limit, and one that names it to each of the nodes.
*/
const slack = 5;

// The limit that an endpoint names in its answers used to be ignored.
test('an endpoint that names a limit gets no more requests than it allows, from all nodes together', async t => {
	const platform = await startPlatform(t);
	const nodes = [platform, await platform.startNode('n2'), await platform.startNode('n3')];
	await platform.open();
	await Promise.all(nodes.map(async ({isReady}) => waitUntil(isReady)));
	const [limited] = platform.endpoints;
	limited?.setBehaviour(behaviours.limited);
	const statuses: number[] = [];
	for (let call = 0; call < calls; call++) {
		for (const node of nodes) {
			// eslint-disable-next-line no-await-in-loop -- one after the other
			statuses.push((await node.call(call % 2 === 0 ? '/safe/x' : '/unsafe/x')).status);
		}
	}

	const arrived = limited?.arrived().length ?? 0;
	t.ok(arrived <= slack + nodes.length, `${arrived} of ${statuses.length}`);
	t.ok(statuses.every(status => status === 200), 'another endpoint has room');
});

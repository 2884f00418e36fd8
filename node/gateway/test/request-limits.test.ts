import {test} from 'tap';
import {behaviours} from '@valvesaddle/fake-endpoint';
import {waitUntil} from '@valvesaddle/fake-fleet';
import {startPlatform} from './start-platform.ts';

const calls = 30;
/**
Requests that an endpoint may get beyond its limit, and one that names it to each of the nodes.
*/
const slack = 5;

// Guards against limits that are ignored, or kept by each node for itself.
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

test('callers are told when to come back while every endpoint is at its limit', async t => {
	const platform = await startPlatform(t, ['limited']);
	await platform.open();
	await platform.call('/safe/x');
	await platform.call('/safe/x');
	let answer = await platform.call('/safe/x');
	await waitUntil(async () => {
		answer = await platform.call('/safe/x');
		return answer.status === 503;
	});
	t.match(answer.text, /"ran":"no"/v);
	t.ok(Number(answer.headers['retry-after']) > 1);
	t.ok(platform.arrived.length <= 2 + slack, `${platform.arrived.length}`);
});

test('an endpoint that names a limit while many requests are open gets none of the later ones', async t => {
	const platform = await startPlatform(t);
	await platform.open();
	const [limited, other] = platform.endpoints;
	limited?.setBehaviour(behaviours.limited);
	const statuses = await Promise.all(Array.from({length: calls}, async () => (await platform.call('/safe/x')).status));
	t.ok(statuses.every(status => status === 200));
	const before = limited?.arrived().length ?? 0;
	await Promise.all(Array.from({length: calls}, async () => platform.call('/unsafe/x')));
	const after = limited?.arrived().length ?? 0;
	t.ok(after <= before + slack, `${before}, ${after}`);
	t.equal((other?.arrived().length ?? 0) + after, 2 * calls);
});

test('a limit that cannot be read is ignored', async t => {
	const platform = await startPlatform(t, ['unreadableLimit']);
	await platform.open();
	for (let call = 0; call < calls; call++) {
		// eslint-disable-next-line no-await-in-loop -- one after the other
		t.equal((await platform.call('/safe/x')).status, 200);
	}
});

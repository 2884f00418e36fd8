// Guards against a deadline that expires after a standstill of the node although the answer has arrived.
import {test} from 'tap';
import {behaviours} from '@valvesaddle/fake-endpoint';
import {waitBlocking} from '@valvesaddle/fake-http';
import {startPlatform} from './start-platform.ts';

const timeoutMs = 2000;

for (const [path, behaviour, status] of [['/safe/x', 'whole', 200], ['/unsafe/x', 'whole', 200], ['/stream/x', 'stream', 200], ['/unsafe/x', 'silent', 504]] as const) {
	test(`${path} is answered with ${status} when its deadline passes in a standstill and its endpoint is ${behaviour}`, async t => {
		const platform = await startPlatform(t);
		await platform.open();
		for (const endpoint of platform.endpoints) {
			endpoint.setBehaviour((request, socket) => {
				behaviours[behaviour](request, socket);
				waitBlocking(timeoutMs);
			});
		}

		const answer = await platform.call(path, {headers: {'x-deadline-ms': String(timeoutMs)}});
		t.equal(answer.status, status);
		t.notMatch(answer.text, '(broken)');
	});
}

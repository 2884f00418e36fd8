// Guards against bodies whose small chunks cost many times their bytes.
import {Buffer} from 'node:buffer';
import {test} from 'tap';
import {measureMemory} from '@valvesaddle/fake-fleet';
import {startForwarding, wholeAnswer} from './start-forwarding.ts';

test('a whole answer in small chunks is kept in little more memory than its bytes', t => {
	const bytes = 2 * 1024 * 1024;
	const chunk = Buffer.from('tok\n');
	const {listeners, answers} = startForwarding(t, {kind: 'safe', answer: wholeAnswer});
	const listener = listeners[0]!;
	listener.onSent();
	listener.onHead(200, {});
	const before = measureMemory();
	for (let sent = 0; sent < bytes; sent += chunk.length) {
		listener.onData(Buffer.from(chunk));
	}

	const grown = measureMemory() - before;
	t.comment(`${grown} bytes for ${bytes}`);
	t.ok(grown < 4 * bytes);
	listener.onEnd();
	t.equal(answers[0]?.length, bytes);
	t.end();
});

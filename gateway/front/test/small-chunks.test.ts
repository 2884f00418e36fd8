// Guards against bodies whose small chunks cost many times their bytes.
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {PassThrough} from 'node:stream';
import {test} from 'tap';
import {measureMemory} from '@valvesaddle/fake-fleet';
import {readWholeBody} from '../src/read-whole-body.ts';

test('a request\'s body in small chunks is kept in little more memory than its bytes', async t => {
	const bytes = 1024 * 1024;
	const chunk = Buffer.from('ab');
	const request = Object.assign(new PassThrough(), {headers: {'transfer-encoding': 'chunked'}, complete: true});
	const reading = readWholeBody(request as unknown as IncomingMessage, bytes);
	const before = measureMemory();
	for (let sent = 0; sent < bytes; sent += chunk.length) {
		request.write(Buffer.from(chunk));
	}

	const grown = measureMemory() - before;
	t.comment(`${grown} bytes for ${bytes}`);
	t.ok(grown < 4 * bytes);
	request.end();
	t.equal((await reading)?.length, bytes);
});

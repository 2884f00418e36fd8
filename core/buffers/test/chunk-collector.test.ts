// Guards against bodies whose small chunks cost many times their bytes.
import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import {test} from 'tap';
import {createChunkCollector} from '@valvesaddle/buffers';

test('a body is joined as its chunks came, and takes at most twice its bytes and a block', t => {
	const lengths = fc.array(fc.oneof(fc.nat(8), fc.nat(10_000)), {maxLength: 60});
	fc.assert(fc.property(lengths, chunkLengths => {
		const chunks = chunkLengths.map((length, index) => Buffer.alloc(length, index));
		const body = createChunkCollector();
		for (const part of chunks) {
			body.push(part);
		}

		const whole = Buffer.concat(chunks);
		const isCounted = body.countBytes() === whole.length && body.lastByte() === whole.at(-1);
		const isBounded = body.measureHeld() >= whole.length && body.measureHeld() <= (2 * whole.length) + 1024;
		return isCounted && isBounded && whole.equals(body.take()) && body.countBytes() === 0 && body.measureHeld() === 0;
	}), {numRuns: 300});
	t.end();
});

test('a collector whose body was taken collects the next one', t => {
	const body = createChunkCollector();
	body.push(Buffer.from('a'));
	body.push(Buffer.from('b'));
	t.equal(Buffer.from(body.take()).toString(), 'ab');
	t.equal(body.take().length, 0);
	body.push(Buffer.from('c'));
	t.equal(body.lastByte(), 99);
	t.equal(Buffer.from(body.take()).toString(), 'c');
	t.end();
});

import type {Writable} from 'node:stream';
import type {BoundedSink} from './bounded-sink.ts';

/**
Lines are gathered for so long before they are written, in milliseconds.
*/
const gatherMs = 100;
/**
Bytes that may wait for the reader. Above the first bound lines of requests that went well are dropped, above the second
all are.
*/
const eventfulBytes = 1024 * 1024;
const largestBytes = 2 * 1024 * 1024;
/**
How long a flush waits for the reader, in milliseconds.
*/
const flushMs = 200;
/**
Lines that are dropped first: what they tell can be told from the failures that remain.
*/
const uneventful = /"msg":"request-(?:admitted|sent)"|"outcome":"answered"/v;

/**
 Creates a sink that keeps a bounded number of bytes while its reader is slow. What was dropped is counted and told in a
 line as soon as there is room.

 @example
 const sink = createBoundedSink(process.stdout);
 sink.stream.write('{"msg":"node-state"}\n');
 */
export function createBoundedSink(output: Writable): BoundedSink {
	let lines: string[] = [];
	let bytes = 0;
	let dropped = 0;
	let isWriting = false;
	let timer: NodeJS.Timeout | undefined;

	// A reader that has gone is no failure of the process.
	output.on('error', () => {
		dropped += lines.length;
		lines = [];
		bytes = 0;
	});

	function writeOut(): void {
		timer = undefined;
		if (isWriting || lines.length === 0) {
			return;
		}

		if (dropped > 0) {
			lines.push(`${JSON.stringify({
				level: 40, time: Date.now(), lines: dropped, msg: 'log-lines-dropped',
			})}\n`);
			dropped = 0;
		}

		const text = lines.join('');
		const written = bytes;
		lines = [];
		isWriting = true;
		output.write(text, () => {
			isWriting = false;
			bytes -= written;
			writeOut();
		});
	}

	return {
		stream: {
			write(line) {
				if (bytes > largestBytes || (bytes > eventfulBytes && uneventful.test(line))) {
					dropped++;
					return;
				}

				bytes += line.length;
				lines.push(line);
				timer ??= setTimeout(writeOut, gatherMs).unref();
			},
		},
		async flush() {
			const {promise, resolve} = Promise.withResolvers<void>();
			const limit = setTimeout(resolve, flushMs);
			clearTimeout(timer);
			writeOut();
			output.write('', () => {
				resolve();
			});
			await promise;
			clearTimeout(limit);
		},
	};
}

import type {Writable} from 'node:stream';
import type {BoundedSink} from './bounded-sink.ts';

/**
Interval over which lines are batched before they are written, in milliseconds.
*/
const batchMs = 100;
/**
Limits of the buffer, in bytes. Above the first, low-priority lines are dropped; above the second, all lines are.
*/
const lowPriorityBytes = 1024 * 1024;
const maximumBytes = 2 * 1024 * 1024;
/**
Timeout of a flush, in milliseconds.
*/
const flushMs = 200;
/**
Low-priority lines: requests that were admitted, sent or answered. Failures are kept longer.
*/
const lowPriorityPattern = /"msg":"request-(?:admitted|sent)"|"outcome":"answered"/v;

/**
 Creates a sink that buffers a bounded number of bytes while its reader is slow. The number of dropped lines is logged as
 `log-lines-dropped` with the next write.

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

	// A closed output, such as a broken pipe, must not end the process.
	output.on('error', () => {
		dropped += lines.length;
		lines = [];
		bytes = 0;
	});

	function writeBuffer(): void {
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
		const batchBytes = bytes;
		lines = [];
		isWriting = true;
		output.write(text, () => {
			isWriting = false;
			bytes -= batchBytes;
			writeBuffer();
		});
	}

	return {
		stream: {
			write(line) {
				if (bytes > maximumBytes || (bytes > lowPriorityBytes && lowPriorityPattern.test(line))) {
					dropped++;
					return;
				}

				bytes += line.length;
				lines.push(line);
				timer ??= setTimeout(writeBuffer, batchMs).unref();
			},
		},
		async flush() {
			const {promise, resolve} = Promise.withResolvers<void>();
			const timeout = setTimeout(resolve, flushMs);
			clearTimeout(timer);
			writeBuffer();
			output.write('', () => {
				resolve();
			});
			await promise;
			clearTimeout(timeout);
		},
	};
}

import {createSocket} from 'node:dgram';
import type {CounterSink} from './counter-sink.ts';

const linePattern = /^valvesaddle\.(?<name>[^:]+):(?<value>-?[\d.]+)\|c/v;

/**
 Starts a receiver of StatsD counters on a free port of the loopback.

 @example
 const sink = await startCounterSink();
 sink.total('peer.bytes-sent');
 */
export async function startCounterSink(): Promise<CounterSink> {
	const sums = new Map<string, number>();
	const socket = createSocket('udp4');
	socket.on('message', bytes => {
		for (const line of bytes.toString().split('\n')) {
			const groups = linePattern.exec(line)?.groups;
			if (groups === undefined) {
				continue;
			}

			const {name = '', value} = groups;
			sums.set(name, (sums.get(name) ?? 0) + Number(value));
		}
	});
	const {promise, resolve} = Promise.withResolvers<void>();
	socket.bind(0, '127.0.0.1', resolve);
	await promise;
	return {
		address: `127.0.0.1:${socket.address().port}`,
		total: name => sums.get(name) ?? 0,
		close() {
			socket.close();
		},
	};
}

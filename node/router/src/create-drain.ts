import {setTimeout as delay} from 'node:timers/promises';
import type {CallerApi} from '@valvesaddle/caller-api';
import type {Executor} from '@valvesaddle/execution';
import type {Membership} from '@valvesaddle/membership';
import type {PeerNetwork} from '@valvesaddle/network';
import type {AnswerReaders} from './answer-readers.ts';
import type {Health} from './health.ts';

type DrainOptions = {
	readonly node: string;
	/**
	Time for the load balancer to notice, during which new requests are still accepted, in milliseconds.
	*/
	readonly graceMs: number;
	readonly health: Health;
	readonly membership: Membership;
	readonly network: PeerNetwork;
	readonly executor: Executor;
	readonly readers: AnswerReaders;
	readonly callerApi: CallerApi;
	/**
	Closes all components; called when no request is open and no answer is being read.
	*/
	readonly closeAll: () => Promise<void>;
};

/**
 Creates the graceful shutdown of a node. Further calls wait for the same shutdown.

 @example
 const drain = createDrain(options);
 await drain();
 */
export function createDrain(options: DrainOptions): () => Promise<void> {
	const {health, membership, network, executor, readers, callerApi} = options;
	let draining: Promise<void> | undefined;

	async function waitUntilIdle(): Promise<void> {
		while (executor.countOpen() > 0) {
			// eslint-disable-next-line no-await-in-loop -- requests may have been started since the event was emitted
			await executor.events.once('idle');
		}
	}

	async function run(): Promise<void> {
		health.markDraining();
		membership.markLeaving(options.node);
		network.broadcast('peer.leaving', {});
		await delay(options.graceMs);
		health.refuseNew();
		await waitUntilIdle();
		await callerApi.close();
		// A request whose body arrived after the others had ended may still run, without a caller.
		await waitUntilIdle();
		await readers.wait();
		await options.closeAll();
	}

	return async () => {
		draining ??= run();
		return draining;
	};
}

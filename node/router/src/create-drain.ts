import {setTimeout as delay} from 'node:timers/promises';
import type {CallerApi} from '@valvesaddle/caller-api';
import type {Executor} from '@valvesaddle/execution';
import type {Membership} from '@valvesaddle/membership';
import type {PeerNetwork} from '@valvesaddle/network';
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
	readonly callerApi: CallerApi;
	/**
	Closes all components; called when no request is open.
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
	const {health, membership, network, executor, callerApi} = options;
	let draining: Promise<void> | undefined;

	async function run(): Promise<void> {
		health.markDraining();
		membership.markLeaving(options.node);
		network.broadcast('peer.leaving', {});
		await delay(options.graceMs);
		health.refuseNew();
		if (executor.countOpen() > 0) {
			await executor.events.once('idle');
		}

		await callerApi.close();
		await options.closeAll();
	}

	return async () => {
		draining ??= run();
		return draining;
	};
}

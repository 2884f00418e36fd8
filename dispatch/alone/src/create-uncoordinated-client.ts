import {errAsync, okAsync} from 'neverthrow';
import type {DispatchClient} from '@valvesaddle/client';
import {ValvesaddleError} from '@valvesaddle/error';
import type {Endpoint} from '@valvesaddle/types';
import type {UncoordinatedClientOptions} from './uncoordinated-client-options.ts';

const choices = 2;

/**
 Creates the baseline that measurements are set against: each node for itself picks the less loaded of two random
 endpoints, by their last load report and its own count since; priorities work only in the engines' own queues.

 @example
 const client = createAloneClient({configuration, readLoad, loadPollMs: 1500});
 */
export function createUncoordinatedClient(options: UncoordinatedClientOptions): DispatchClient {
	const reported = new Map<string, number>();
	const sentSince = new Map<string, number>();
	const grants = new Map<string, string>();
	let grantCount = 0;

	function getLoad(id: string): number {
		return (reported.get(id) ?? 0) + (sentSince.get(id) ?? 0);
	}

	function pick(candidates: readonly Endpoint[]): Endpoint | undefined {
		const drawn = Array.from({length: choices}, () => candidates[Math.floor(Math.random() * candidates.length)]);
		return drawn.filter(endpoint => endpoint !== undefined).toSorted((a, b) => getLoad(a.id) - getLoad(b.id))[0];
	}

	async function readLoads(): Promise<void> {
		await Promise.all(options.configuration().endpoints.map(async endpoint => {
			const report = await options.readLoad(endpoint);
			if (report === undefined) {
				return;
			}

			reported.set(endpoint.id, report.requests);
			sentSince.set(endpoint.id, 0);
		}));
	}

	const timer = setInterval(() => {
		void readLoads();
	}, options.loadPollMs);
	timer.unref();

	return {
		acquire(ask) {
			const inPool = options.configuration().endpoints.filter(({pool, leaving}) => pool === ask.pool && !leaving);
			const fresh = inPool.filter(({id}) => !ask.avoid.includes(id));
			const endpoint = pick(fresh.length > 0 ? fresh : inPool);
			if (endpoint === undefined) {
				return errAsync(new ValvesaddleError('ERR_VALVESADDLE_NO_ENDPOINT', `no endpoint of pool "${ask.pool}" takes work`, {retryAfterMs: 1000}));
			}

			const grantId = `${ask.requestId}#${++grantCount}`;
			grants.set(grantId, endpoint.id);
			sentSince.set(endpoint.id, (sentSince.get(endpoint.id) ?? 0) + 1);
			return okAsync({grantId, endpointId: endpoint.id, url: endpoint.url});
		},
		progress() {
			// Nobody waits for it.
		},
		release({grantId}) {
			const endpointId = grants.get(grantId);
			grants.delete(grantId);
			if (endpointId !== undefined) {
				sentSince.set(endpointId, Math.max(-getLoad(endpointId), (sentSince.get(endpointId) ?? 0) - 1));
			}
		},
		close() {
			clearInterval(timer);
		},
	};
}

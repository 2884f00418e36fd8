import {errAsync, okAsync} from 'neverthrow';
import type {DispatchClient} from '@valvesaddle/client';
import {ValvesaddleError} from '@valvesaddle/error';
import type {Endpoint} from '@valvesaddle/types';
import type {UncoordinatedClientOptions} from './uncoordinated-client-options.ts';

const choiceCount = 2;

/**
 Creates a client without dispatchers, used as the baseline of measurements. Each node picks the less loaded of two
 random endpoints, by their last load report and its own requests since. Priorities apply only in the engines' queues.

 @example
 const client = createUncoordinatedClient({configuration, readLoad, loadPollMs: 1500});
 */
export function createUncoordinatedClient(options: UncoordinatedClientOptions): DispatchClient {
	const reportedRequests = new Map<string, number>();
	const sentSince = new Map<string, number>();
	const grants = new Map<string, string>();
	let grantCount = 0;

	function getLoad(id: string): number {
		return (reportedRequests.get(id) ?? 0) + (sentSince.get(id) ?? 0);
	}

	function pickEndpoint(candidates: readonly Endpoint[]): Endpoint | undefined {
		const drawn = Array.from({length: choiceCount}, () => candidates[Math.floor(Math.random() * candidates.length)]);
		return drawn.filter(endpoint => endpoint !== undefined).toSorted((a, b) => getLoad(a.id) - getLoad(b.id))[0];
	}

	async function readLoads(): Promise<void> {
		await Promise.all(options.configuration().endpoints.map(async endpoint => {
			const report = await options.readLoad(endpoint);
			if (report === undefined) {
				return;
			}

			reportedRequests.set(endpoint.id, report.requests);
			sentSince.set(endpoint.id, 0);
		}));
	}

	const timer = setInterval(() => {
		void readLoads();
	}, options.loadPollMs);
	timer.unref();

	return {
		acquire(parameters) {
			const inPool = options.configuration().endpoints.filter(({pool, leaving}) => pool === parameters.pool && !leaving);
			const preferred = inPool.filter(({id}) => !parameters.avoid.includes(id));
			const endpoint = pickEndpoint(preferred.length > 0 ? preferred : inPool);
			if (endpoint === undefined) {
				return errAsync(new ValvesaddleError('ERR_VALVESADDLE_NO_ENDPOINT', `no endpoint of pool "${parameters.pool}" takes work`, {retryAfterMs: 1000}));
			}

			const grantId = `${parameters.requestId}#${++grantCount}`;
			grants.set(grantId, endpoint.id);
			sentSince.set(endpoint.id, (sentSince.get(endpoint.id) ?? 0) + 1);
			return okAsync({grantId, endpointId: endpoint.id, url: endpoint.url});
		},
		progress() {
			// No dispatcher needs the progress.
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

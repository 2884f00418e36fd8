import type {AcquireRequest} from '@valvesaddle/messages';
import {createMetrics} from '@valvesaddle/metrics';
import {createPoolDispatcher, type PoolDispatcher} from '@valvesaddle/pool';
import type {Configuration} from '@valvesaddle/types';

type BenchDispatcherOptions = {
	readonly endpoints: number;
	readonly limit: number;
};

/**
A dispatcher with the means to ask it.
*/
type BenchDispatcher = {
	readonly dispatcher: PoolDispatcher;
	readonly createRequest: (number: number) => AcquireRequest;
};

const longWaitMs = 3_600_000;
const accounts = 100;
const classNames = ['gate', 'route', 'estimate'];

/**
 Creates a dispatcher over so many endpoints, whose requests may wait for an hour.

 @example
 const {dispatcher, createRequest} = createBenchDispatcher({endpoints: 250, limit: 4});
 */
export function createBenchDispatcher({endpoints, limit}: BenchDispatcherOptions): BenchDispatcher {
	const configuration: Configuration = {
		classes: classNames.map((name, priority) => ({
			name, priority, urgent: priority === 0, firstTokenTargetMs: 1000, maximumWaitMs: longWaitMs, weight: 1, floor: 0.02,
		})),
		accounts: [],
		pools: [{
			name: 'drafting', kind: 'engine', model: 'drafting', region: 'r', repeatable: true, interTokenTargetMs: 52, dispatchers: 1,
		}],
		endpoints: Array.from({length: endpoints}, (_, index) => ({
			id: `engine-${index}`, pool: 'drafting', url: `http://10.0.0.1:${index + 1}`, dataCentre: 'dc-1', initialLimit: limit, leaving: false,
		})),
		bindings: [],
	};
	const dispatcher = createPoolDispatcher({
		pool: 'drafting', configuration, leaving: new Set(), warmupMs: 0, grantLeaseMs: longWaitMs, metrics: createMetrics(),
	});
	return {
		dispatcher,
		createRequest: number => ({
			requestId: `n1_${number}`, duty: 'drafting', account: `client-account-${number % accounts}`, className: classNames[number % classNames.length]!, node: 'n1', dataCentre: 'dc-1',
			waitedMs: 0, ranMs: 0, admitted: true, promptTokens: 500, tokensSoFar: 0, session: `session-${number % 1000}`, repeatable: true, avoid: [], skipped: [], forced: false, trace: {},
		}),
	};
}

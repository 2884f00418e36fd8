import {createAccessIndex} from '@valvesaddle/access';
import {createAnswerLog} from '@valvesaddle/answers';
import {formatTable} from '@valvesaddle/bench-harness';
import {createBenchDispatcher} from './create-bench-dispatcher.ts';
import {createFullConfiguration} from './create-full-configuration.ts';
import {createFilledShard} from './create-filled-shard.ts';
import {measureHeldBytes} from './measure-held-bytes.ts';

const manyRequests = 10_000;
const manyEndpoints = 3500;
const tokensPerAnswer = 500;
const manyAnswers = 500;
const manyClaims = 20_000;
const manyAccounts = 680;

/**
 Measures the heap that each item of state holds.

 @example
 console.log(await measureMemory());
 */
export async function measureMemory(): Promise<string> {
	const rows: ReadonlyArray<readonly [string, number]> = [
		['endpoint at its dispatcher', await measureHeldBytes(manyEndpoints, count => createBenchDispatcher({endpoints: count, limit: 1}))],
		['waiting request at its dispatcher', await measureHeldBytes(manyRequests, count => createAsked(1, count))],
		['open grant at its dispatcher', await measureHeldBytes(manyRequests, count => createAsked(count, count))],
		[`answer of ${tokensPerAnswer} tokens at its node`, await measureHeldBytes(manyAnswers, count => Array.from({length: count}, (_, index) => createAnswer(index)))],
		['claim at its writer', await measureHeldBytes(manyClaims, createFilledShard)],
		['client account, with its share of the configuration', await measureHeldBytes(manyAccounts, () => {
			const configuration = createFullConfiguration(1);
			return {configuration, index: createAccessIndex(configuration)};
		})],
	];
	return formatTable(['item', 'heap'], rows.map(([name, bytes]) => [name, `${bytes.toFixed(0)} B`]));
}

function createAsked(limit: number, count: number): unknown {
	const {dispatcher, createRequest} = createBenchDispatcher({endpoints: 1, limit});
	for (let number = 0; number < count; number++) {
		void dispatcher.acquire(createRequest(number));
	}

	return dispatcher;
}

function createAnswer(index: number): unknown {
	const log = createAnswerLog({
		requestId: `n1_${index}`, account: 'client-account', graceMs: 1000, onAbandoned() {
			// Not reached.
		},
	});
	for (let token = 0; token < tokensPerAnswer; token++) {
		log.append(JSON.stringify({content: `token-${token} `}));
	}

	return log;
}

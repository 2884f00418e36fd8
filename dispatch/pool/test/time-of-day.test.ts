// Guards against a change of the time of day that expires requests and grants.
import {test, type Test} from 'tap';
import type {AcquireReply, AcquireRequest} from '@valvesaddle/messages';
import {createMetrics} from '@valvesaddle/metrics';
import type {Configuration} from '@valvesaddle/types';
import {createPoolDispatcher} from '@valvesaddle/pool';

const hourMs = 3_600_000;

const configuration: Configuration = {
	classes: [{
		name: 'estimate', priority: 2, urgent: false, firstTokenTargetMs: hourMs, maximumWaitMs: hourMs, weight: 1, floor: 0.1,
	}],
	accounts: [{
		name: 'sawmill', keyHashes: [], weight: 1, maximumOpen: 0,
	}],
	pools: [{
		name: 'drafting', kind: 'engine', model: 'drafting', region: 'r', repeatable: true, interTokenTargetMs: 52, dispatchers: 1,
	}],
	endpoints: [{
		id: 'e1', pool: 'drafting', url: 'http://127.0.0.1:1', dataCentre: 'dc-1', initialLimit: 1, leaving: false,
	}],
	bindings: [],
};

function createRequest(requestId: string): AcquireRequest {
	return {
		requestId, duty: 'drafting', account: 'sawmill', className: 'estimate', node: 'n1', dataCentre: 'dc-1', waitedMs: 0, ranMs: 0, admitted: true, promptTokens: 10, tokensSoFar: 0,
		session: undefined, repeatable: true, avoid: [], skipped: [], forced: false, trace: {},
	};
}

function startDispatcher() {
	return createPoolDispatcher({
		pool: 'drafting', configuration, leaving: new Set(), warmupMs: 0, grantLeaseMs: hourMs, metrics: createMetrics(),
	});
}

function moveTimeOfDay(t: Test, milliseconds: number): void {
	const {now} = Date;
	Date.now = () => now() + milliseconds;
	t.teardown(() => {
		Date.now = now;
	});
}

test('a request that waits is not refused when the time of day jumps ahead', async t => {
	const dispatcher = startDispatcher();
	const first = await dispatcher.acquire(createRequest('r-1'));
	const second = dispatcher.acquire(createRequest('r-2'));
	moveTimeOfDay(t, 2 * hourMs);
	dispatcher.tick();
	t.equal(dispatcher.status().inFlight, 1, 'the first grant is still held');
	dispatcher.release({
		grantId: toGrantId(first), duty: 'drafting', outcome: 'complete', tokens: 1, firstTokenMs: 1, interTokenMs: 1,
	});
	t.equal((await second).kind, 'granted');
});

function toGrantId(reply: AcquireReply): string {
	return reply.kind === 'granted' ? reply.grant.grantId : '';
}

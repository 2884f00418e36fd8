import {Clock} from 'clock-mock';
import {
	err,
	ok,
	ResultAsync,
	type Result,
} from 'neverthrow';
import {test} from 'tap';
import {ValvesaddleError} from '@valvesaddle/error';
import {createMetrics} from '@valvesaddle/metrics';
import type {Vm} from '@valvesaddle/types';
import {createMembership, type Membership} from '@valvesaddle/membership';

function createVm(id: string, overrides: Partial<Vm> = {}): Vm {
	return {
		id, role: 'router', address: `10.0.0.1:${id.length}`, dataCentre: 'dc-1', region: 'r1', state: 'live', ...overrides,
	};
}

async function startMembership(read: () => Result<readonly Vm[], ValvesaddleError>): Promise<Membership> {
	const membership = createMembership({
		self: createVm('n1'),
		vmList: {
			read: () => new ResultAsync(Promise.resolve(read())),
			async close() {
				// Nothing to close.
			},
		},
		pollMs: 1_000_000,
		suspectMs: 3000,
		metrics: createMetrics(),
	});
	await membership.start();
	return membership;
}

test('a node is always a member of its own view, whatever the list says', async t => {
	const membership = await startMembership(() => ok([createVm('n2')]));
	t.teardown(membership.close);
	t.same(membership.routers().toSorted(), ['n1', 'n2']);
});

test('routers and endpoints are leaving when the list says so or the router announces it', async t => {
	const membership = await startMembership(() => ok([
		createVm('n1'), createVm('n2', {state: 'leaving'}), createVm('n3'), createVm('e1', {role: 'endpoint', state: 'leaving'}), createVm('e2', {role: 'endpoint'}),
	]));
	t.teardown(membership.close);
	t.same(membership.routers(), ['n1', 'n3']);
	t.same([...membership.leavingEndpoints()], ['e1']);
	membership.markLeaving('n3');
	t.same(membership.routers(), ['n1']);
});

test('a suspected node is left out until the suspicion expires or it responds', async t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const membership = await startMembership(() => ok([createVm('n1'), createVm('n2')]));
	membership.suspect('n2');
	t.same(membership.routers(), ['n1']);
	clock.advance(3000);
	t.same(membership.routers(), ['n1', 'n2']);
	membership.suspect('n2');
	membership.trust('n2');
	t.same(membership.routers(), ['n1', 'n2']);
});

test('only the routers of the given region are listed, or all when it has none', async t => {
	const membership = await startMembership(() => ok([createVm('n1'), createVm('n2', {region: 'r2'})]));
	t.teardown(membership.close);
	t.same(membership.routers('r2'), ['n2']);
	t.same(membership.routers('r9'), ['n1', 'n2']);
});

test('a failed read of the list changes nothing', async t => {
	const results: Array<Result<readonly Vm[], ValvesaddleError>> = [
		ok([createVm('n1'), createVm('n2')]),
		err(new ValvesaddleError('ERR_VALVESADDLE_PEER_UNREACHABLE', 'down')),
	];
	const membership = await startMembership(() => results.shift()!);
	t.teardown(membership.close);
	await membership.start();
	t.equal(results.length, 0);
	t.same(membership.routers(), ['n1', 'n2']);
});

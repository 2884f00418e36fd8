import fc from 'fast-check';
import {test} from 'tap';
import type {RequestClass} from '@valvesaddle/types';
import {createWaitingQueue, type QueuedRequest} from '@valvesaddle/queue';

const classes: readonly RequestClass[] = ['gate', 'route', 'estimate'].map((name, priority) => ({
	name, priority, urgent: priority === 0, firstTokenTargetMs: 1000, maximumWaitMs: 1000 * (priority + 1), weight: 1, floor: 0,
}));

function createQueue(weights: ReadonlyMap<string, number> = new Map()) {
	const queue = createWaitingQueue<string>();
	queue.configure(classes, weights);
	return queue;
}

function createItem(requestId: string, part: Partial<QueuedRequest<string>> = {}): QueuedRequest<string> {
	return {
		requestId, className: 'estimate', account: 'sawmill', arrivedAt: 0, ranMs: 0, value: requestId, ...part,
	};
}

test('requests of one account are ordered by their original arrival', t => {
	const queue = createQueue();
	queue.push(createItem('late', {arrivedAt: 30}));
	queue.push(createItem('early', {arrivedAt: 10}));
	queue.push(createItem('middle', {arrivedAt: 20}));
	const order: string[] = [];
	for (let item = queue.peek('estimate'); item !== undefined; item = queue.peek('estimate')) {
		order.push(item.requestId);
		queue.remove(item.requestId);
	}

	t.same(order, ['early', 'middle', 'late']);
	t.end();
});

test('waiting accounts of equal weight are served equally, however many requests each one sends', t => {
	const queue = createQueue();
	for (let index = 0; index < 100; index++) {
		queue.push(createItem(`big-${index}`, {account: 'big'}));
	}

	for (let index = 0; index < 10; index++) {
		queue.push(createItem(`small-${index}`, {account: 'small'}));
	}

	const served: Record<string, number> = {big: 0, small: 0};
	for (let turn = 0; turn < 20; turn++) {
		const item = queue.peek('estimate');
		queue.remove(item?.requestId ?? '');
		queue.charge('estimate', item?.account ?? '', 100);
		served[item?.account ?? ''] = (served[item?.account ?? ''] ?? 0) + 1;
	}

	t.same(served, {big: 10, small: 10});
	t.end();
});

test('an account of twice the weight is served twice the tokens', t => {
	const queue = createQueue(new Map([['heavy', 2], ['light', 1]]));
	for (let index = 0; index < 60; index++) {
		queue.push(createItem(`heavy-${index}`, {account: 'heavy'}));
		queue.push(createItem(`light-${index}`, {account: 'light'}));
	}

	const served: Record<string, number> = {heavy: 0, light: 0};
	for (let turn = 0; turn < 30; turn++) {
		const item = queue.peek('estimate');
		queue.remove(item?.requestId ?? '');
		queue.charge('estimate', item?.account ?? '', 50);
		served[item?.account ?? ''] = (served[item?.account ?? ''] ?? 0) + 1;
	}

	t.same(served, {heavy: 20, light: 10});
	t.end();
});

test('an account accrues no credit while it is idle', t => {
	const queue = createQueue();
	queue.push(createItem('busy-1', {account: 'busy'}));
	queue.charge('estimate', 'busy', 10_000);
	queue.push(createItem('idle-1', {account: 'idle'}));
	queue.push(createItem('idle-2', {account: 'idle'}));
	queue.remove('idle-1');
	queue.charge('estimate', 'idle', 100);
	t.equal(queue.peek('estimate')?.account, 'busy');
	t.end();
});

test('requests are removed when they reach the maximum wait of their class, and not before', t => {
	const queue = createQueue();
	queue.push(createItem('gate', {className: 'gate'}));
	queue.push(createItem('estimate'));
	t.same(queue.takeExpired(999), []);
	t.same(queue.takeExpired(1000).map(({requestId}) => requestId), ['gate']);
	t.same(queue.takeExpired(3000).map(({requestId}) => requestId), ['estimate']);
	t.equal(queue.size(), 0);
	t.end();
});

test('a waiting class accrues floor credit with the grants of other classes', t => {
	const queue = createQueue();
	queue.push(createItem('estimate'));
	for (let grant = 0; grant < 100; grant++) {
		queue.recordGrant('gate', false);
	}

	const getFloorCredit = (): number => queue.views().find(view => view.requestClass.name === 'estimate')?.floorCredit ?? 0;
	t.ok(getFloorCredit() >= 0.99 && getFloorCredit() <= 1.01);
	queue.recordGrant('estimate', true);
	t.ok(getFloorCredit() < 0.01);
	t.end();
});

test('counts match the queue after any sequence of pushes and removals', t => {
	const action = fc.record({
		id: fc.nat(20), remove: fc.boolean(), className: fc.constantFrom('gate', 'route', 'estimate'), account: fc.constantFrom('a', 'b', 'c'),
	});
	fc.assert(fc.property(fc.array(action), actions => {
		const queue = createQueue();
		const model = new Map<string, string>();
		for (const {id, remove, className, account} of actions) {
			const requestId = String(id);
			if (remove) {
				queue.remove(requestId);
				model.delete(requestId);
			} else if (!model.has(requestId)) {
				queue.push(createItem(requestId, {className, account}));
				model.set(requestId, className);
			}
		}

		const waiting = classes.map(({name}) => queue.waiting(name));
		return queue.size() === model.size && waiting.every((count, index) => count === model.values().filter(name => name === classes[index]?.name).toArray().length);
	}));
	t.end();
});

import fc from 'fast-check';
import {test} from 'tap';
import {startRoom} from './start-room.ts';

const urgent = {className: 'chats', route: 'chats', rank: 0};

test('a request that waits is sent when a request of the node ends, and otherwise within 20 ms', t => {
	const {clock, room, ends, createWaiter, endRequest, addPlaces} = startRoom(t);
	room.enter(createWaiter('a'));
	room.enter(createWaiter('b'));
	clock.advance(50);
	t.same(ends, []);
	endRequest();
	clock.advance(2);
	t.same(ends, ['a sent']);
	addPlaces(1);
	clock.advance(20);
	t.same(ends, ['a sent', 'b sent']);
	t.equal(room.count(), 0);
	t.end();
});

test('the most urgent come first, then callers that have come back, then those with little time left', t => {
	const {clock, room, ends, createWaiter, addPlaces} = startRoom(t);
	room.enter(createWaiter('patient', {objectiveAt: 900}));
	room.enter(createWaiter('hurried', {objectiveAt: 700}));
	room.enter(createWaiter('returned', {hasReturned: true, isPromised: true}));
	room.enter(createWaiter('urgent', urgent));
	addPlaces(9);
	clock.advance(20);
	t.same(ends, ['urgent sent', 'returned sent', 'hurried sent', 'patient sent']);
	t.end();
});

test('accounts take turns by what they were served, however many requests each has', t => {
	const {clock, room, ends, createWaiter, addPlaces} = startRoom(t);
	for (let index = 0; index < 100; index++) {
		room.enter(createWaiter(`large ${index}`, {account: 'large'}));
	}

	for (let index = 0; index < 5; index++) {
		room.enter(createWaiter(`small ${index}`, {account: 'small'}));
	}

	addPlaces(10);
	clock.advance(20);
	t.equal(ends.filter(end => end.startsWith('small')).length, 5);
	t.end();
});

test('an account that sends 100,000 requests keeps no other one out, and memory stays bounded', t => {
	const {clock, room, ends, createWaiter, addPlaces} = startRoom(t, {most: 200});
	for (let index = 0; index < 100_000; index++) {
		room.enter(createWaiter(`large ${index}`, {account: 'large', objectiveMs: 60_000}));
	}

	t.equal(room.count(), 200);
	t.equal(ends.length, 99_800, 'each of the others is answered at once');
	for (let index = 0; index < 50; index++) {
		room.enter(createWaiter(`small ${index}`, {account: 'small', objectiveMs: 60_000}));
	}

	t.equal(room.count(), 200);
	t.notOk(ends.some(end => end.startsWith('small')));
	addPlaces(100);
	clock.advance(20);
	t.equal(ends.filter(end => end.startsWith('small') && end.endsWith('sent')).length, 50);
	t.end();
});

test('a body larger than the room is refused, and bytes stay bounded', t => {
	const {room, ends, createWaiter} = startRoom(t, {mostBytes: 1000});
	room.enter(createWaiter('huge', {bytes: 1001}));
	room.enter(createWaiter('half', {bytes: 600}));
	room.enter(createWaiter('more', {bytes: 500}));
	t.same(ends, ['huge full', 'more full'], 'an account does not lose a request for one of its own');
	room.enter(createWaiter('other', {bytes: 500, account: 'other'}));
	t.same(ends.at(-1), 'half full');
	t.equal(room.count(), 1);
	t.end();
});

test('an urgent request takes the place of another one in a full room, and is not dropped itself', t => {
	const {room, ends, createWaiter} = startRoom(t, {most: 2});
	room.enter(createWaiter('a'));
	room.enter(createWaiter('b'));
	room.enter(createWaiter('u1', urgent));
	room.enter(createWaiter('u2', urgent));
	t.same(ends, ['b full', 'a full']);
	room.enter(createWaiter('c', {account: 'other'}));
	t.equal(ends.at(-1), 'c full');
	t.end();
});

test('a request that is not predicted to be in time is refused after an eighth of its objective, a held one when it is hopeless', t => {
	const {clock, room, ends, createWaiter} = startRoom(t);
	room.enter(createWaiter('late', {className: 'late', getRoomInMs: () => 900}));
	room.enter(createWaiter('held', {className: 'held', getRoomInMs: () => performance.now() < 150 ? 500 : 2000}));
	room.enter(createWaiter('promised', {className: 'promised', isPromised: true, getRoomInMs: () => 9000}));
	clock.advance(90);
	t.same(ends, []);
	clock.advance(40);
	t.same(ends, ['late hopeless']);
	clock.advance(570);
	t.same(ends, ['late hopeless']);
	clock.advance(40);
	t.same(ends, ['late hopeless', 'held hopeless']);
	clock.advance(5000);
	t.equal(room.count(), 1);
	t.end();
});

test('a promised request waits no longer than it may, an urgent one until its deadline', t => {
	const {clock, room, ends, createWaiter} = startRoom(t);
	room.enter(createWaiter('plain', {isPromised: true, latestAt: 300}));
	room.enter(createWaiter('urgent', {...urgent, latestAt: 300}));
	clock.advance(290);
	t.same(ends, []);
	clock.advance(40);
	t.same(ends, ['plain hopeless']);
	clock.advance(9000);
	t.equal(room.count(), 1);
	t.end();
});

test('when all endpoints are gone, the requests are told so within 20 ms', t => {
	const {clock, room, ends, createWaiter, removeEndpoint} = startRoom(t);
	room.enter(createWaiter('a'));
	room.enter(createWaiter('u', urgent));
	clock.advance(40);
	removeEndpoint();
	clock.advance(22);
	t.same(ends.toSorted(), ['a no-endpoint', 'u no-endpoint']);
	t.end();
});

test('a request that has left is not sent', t => {
	const {clock, room, ends, metrics, createWaiter, addPlaces} = startRoom(t);
	const leave = room.enter(createWaiter('a'));
	leave();
	leave();
	addPlaces(1);
	clock.advance(100);
	t.same(ends, []);
	t.equal(room.count(), 0);
	t.equal(metrics.total('gateway.waited'), 1);
	t.end();
});

test('no class starves behind a more urgent one that always waits', t => {
	const {clock, room, ends, createWaiter, addPlaces} = startRoom(t);
	for (let index = 0; index < 5; index++) {
		room.enter(createWaiter(`low ${index}`, {isPromised: true}));
	}

	for (let index = 0; index < 100; index++) {
		room.enter(createWaiter(`high ${index}`, {className: 'explanations', rank: 2, isPromised: true}));
		room.enter(createWaiter(`next ${index}`, {className: 'explanations', rank: 2, isPromised: true}));
		addPlaces(1);
		clock.advance(20);
	}

	const low = ends.filter(end => end.startsWith('low')).length;
	t.equal(low, 5, 'one in ten');
	t.end();
});

test('each request ends once, the room is bounded, and none waits while there is a place', t => {
	const action = fc.record({
		kind: fc.constantFrom('enter', 'enter', 'enter', 'leave', 'place', 'time'), account: fc.constantFrom('a', 'b', 'c'), rank: fc.constantFrom(0, 2, 4), bytes: fc.nat(300), isPromised: fc.boolean(),
	});
	fc.assert(fc.property(fc.array(action, {maxLength: 60}), actions => {
		const {clock, room, ends, createWaiter, addPlaces, countPlaces} = startRoom(t, {most: 8, mostBytes: 1000});
		const leaves: Array<() => void> = [];
		let entered = 0;
		let isRight = true;
		const handlers: Readonly<Record<string, (part: {readonly account: string; readonly rank: number; readonly bytes: number; readonly isPromised: boolean}) => void>> = {
			enter(part) {
				leaves.push(room.enter(createWaiter(String(entered++), {...part, className: String(part.rank)})));
			},
			leave() {
				leaves.pop()?.();
			},
			place() {
				addPlaces(1);
				clock.advance(22);
			},
			time() {
				clock.advance(300);
			},
		};
		for (const {kind, ...part} of actions) {
			handlers[kind]?.(part);
			isRight &&= room.count() <= 8 && (kind !== 'place' || room.count() === 0 || countPlaces() === 0);
		}

		clock.exit();
		return isRight && new Set(ends).size === ends.length && ends.length <= entered;
	}), {numRuns: 200});
	t.end();
});

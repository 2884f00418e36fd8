import {Clock} from 'clock-mock';
import type {Test} from 'tap';
import {createLogger} from '@valvesaddle/logger';
import {createMetrics} from '@valvesaddle/metrics';
import {createWaitingRoom, type Turns, type Waiter} from '@valvesaddle/waiting-room';

type RoomOptions = {
	readonly most?: number;
	readonly mostBytes?: number;
	readonly turns?: Turns;
};

const anyTurn: Turns = {
	recordFreed() {
		// Each place may be used.
	},
	hasTurn: () => true,
	take() {
		// Each place may be used.
	},
};

/**
 Starts a waiting room before one endpoint whose free places the test sets.

 @example
 const {room, createWaiter, addPlaces, ends} = startRoom(t, {most: 10});
 room.enter(createWaiter('a'));
 */
export function startRoom(t: Test, {most = 1000, mostBytes = 1e9, turns = anyTurn}: RoomOptions = {}) {
	const clock = new Clock();
	t.teardown(clock.enter());
	const metrics = createMetrics();
	const room = createWaitingRoom({
		most, mostBytes, returnFactor: 1.5, turns, logger: createLogger({node: 'n', level: 'silent'}), metrics,
	});
	/**
	How each request ended, in order.
	*/
	const ends: string[] = [];
	let places = 0;
	let isGone = false;

	function createWaiter(requestId: string, part: Partial<Waiter> = {}): Waiter {
		const objectiveMs = part.objectiveMs ?? 800;
		return {
			requestId,
			pool: 'engines',
			route: 'summaries',
			className: 'summaries',
			rank: 4,
			account: 'sawmill',
			arrivedAt: performance.now(),
			objectiveMs,
			objectiveAt: performance.now() + objectiveMs,
			serviceMs: 100,
			hasReturned: false,
			isPromised: false,
			bytes: 100,
			tokens: 1000,
			getRoomInMs: () => isGone ? Infinity : 0,
			send(hasTurn) {
				if (places === 0 || !hasTurn('e')) {
					return {kind: 'kept'};
				}

				places--;
				ends.push(`${requestId} sent`);
				return {kind: 'sent', incarnation: 'e'};
			},
			onWithdrawn(reason) {
				ends.push(`${requestId} ${reason}`);
			},
			...part,
		};
	}

	return {
		clock, room, metrics, ends, createWaiter,
		/**
		A request of this node has ended at the endpoint.
		*/
		endRequest() {
			places++;
			room.wake('e');
		},
		/**
		Places come free of which the node is not told.
		*/
		addPlaces(count: number) {
			places += count;
		},
		countPlaces: () => places,
		removeEndpoint() {
			isGone = true;
		},
	};
}

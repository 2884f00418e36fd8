import fc from 'fast-check';
import {test} from 'tap';
import {planReservation} from '../src/plan-reservation.ts';
import type {ReservableEndpoint} from '../src/reservable-endpoint.ts';

function createEndpoints(count: number, change: Partial<ReservableEndpoint> = {}): readonly ReservableEndpoint[] {
	return Array.from({length: count}, (_value, index) => ({
		incarnation: `i-${index}`, slots: 16, speedFactor: 1, ...change,
	}));
}

test('as many endpoints are reserved as the streams need, in the given order', t => {
	const endpoints = createEndpoints(30);
	t.same(planReservation({endpoints, streams: 0, maximumShare: 0.4}).keys().toArray(), []);
	t.same(planReservation({endpoints, streams: 9, maximumShare: 0.4}).keys().toArray(), ['i-0']);
	t.same(planReservation({endpoints, streams: 25, maximumShare: 0.4}).keys().toArray(), ['i-0', 'i-1', 'i-2']);
	t.end();
});

test('fast endpoints are reserved first, slow ones last, and noise in the speeds moves nothing', t => {
	const endpoints = createEndpoints(30).map((endpoint, index) => ({...endpoint, speedFactor: [0.6, 0.95, 1.05, 1.6][index % 4] ?? 1}));
	const noisy = endpoints.map((endpoint, index) => ({...endpoint, speedFactor: endpoint.speedFactor * (index % 3 === 0 ? 1.04 : 0.97)}));
	const plan = planReservation({endpoints, streams: 80, maximumShare: 0.4});
	t.same(plan.keys().toArray(), ['i-3', 'i-7', 'i-11', 'i-15', 'i-19', 'i-23', 'i-27']);
	t.same(planReservation({endpoints: noisy, streams: 80, maximumShare: 0.4}), plan);
	t.end();
});

test('property: a plan is bounded, has room for the streams unless it is at its bound, and contains each smaller one', t => {
	const speeds = fc.array(fc.double({min: 0.4, max: 2, noNaN: true}), {maxLength: 60});
	fc.assert(fc.property(speeds, fc.nat(400), fc.nat(400), fc.double({min: 0, max: 0.8, noNaN: true}), (factors, some, more, maximumShare) => {
		const endpoints = factors.map((speedFactor, index) => ({incarnation: `i-${index}`, slots: 16, speedFactor}));
		const smaller = planReservation({endpoints, streams: some, maximumShare});
		const larger = planReservation({endpoints, streams: some + more, maximumShare});
		const maximum = Math.floor(endpoints.length * maximumShare);
		const planned = smaller.values().reduce((sum, streams) => sum + streams, 0);
		return smaller.size <= maximum
			&& (smaller.size === maximum || planned >= some)
			&& smaller.keys().every(incarnation => larger.has(incarnation));
	}));
	t.end();
});

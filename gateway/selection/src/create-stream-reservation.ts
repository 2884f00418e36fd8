import {rankByHash} from '@valvesaddle/ranking';
import type {KnownEndpoint} from './known-endpoint.ts';
import type {LoadTable} from './load-table.ts';
import {planReservation} from './plan-reservation.ts';
import type {StreamReservation} from './stream-reservation.ts';

type StreamReservationOptions = {
	/**
	Maximum share of a pool's endpoints that is reserved; 0 for none.
	*/
	readonly maximumShare: number;
	readonly loads: Pick<LoadTable, 'get'>;
	/**
	Called when the number of reserved endpoints changes.
	*/
	readonly onPlanned?: (reserved: number, streams: number) => void;
};

/**
Fewer endpoints are not divided: one of them would be a large part of the pool.
*/
const minimumEndpoints = 12;
/**
Interval between plans.
*/
const planIntervalMs = 250;
/**
Time constant of the decay of the planned streams. Some seconds, so that an endpoint whose streams still run is not given long prompts.
*/
const decayMs = 4000;
/**
Factor on the streams whose endpoints get no other requests. Other nodes may plan for somewhat more streams than this one.
*/
const sparedFactor = 1.25;

/**
 Creates the reservation of a pool's endpoints.

 @example
 const reservation = createStreamReservation({maximumShare: 0.4, loads});
 reservation.setPauseObjective(150);
 reservation.listAllowed({ready, candidates, pauseObjectiveMs: 150, getSpeedFactor: () => 1});
 */
export function createStreamReservation({maximumShare, loads, onPlanned}: StreamReservationOptions): StreamReservation {
	let shortestMs = 0;
	let order: readonly string[] | undefined;
	/**
	Reserved endpoints, and the number of streams that each is planned for.
	*/
	let reserved: ReadonlyMap<string, number> = new Map();
	/**
	Reserved endpoints, and those that may be reserved by other nodes.
	*/
	let spared: ReadonlyMap<string, number> = new Map();
	let plannedAt = -Infinity;
	let plannedStreams = 0;

	function isProtected(pauseObjectiveMs: number): boolean {
		return maximumShare > 0 && pauseObjectiveMs > 0 && pauseObjectiveMs <= shortestMs;
	}

	/**
	Streams to plan for: those that are open, or the recent peak while it decays.
	*/
	function updateStreams(ready: readonly KnownEndpoint[], elapsedMs: number): void {
		const open = ready.reduce((sum, {incarnation}) => sum + loads.get(incarnation).protectedStreams, 0);
		plannedStreams = Math.max(open, plannedStreams * Math.exp(-elapsedMs / decayMs));
	}

	function updatePlan(ready: readonly KnownEndpoint[], getSpeedFactor: (incarnation: string) => number): void {
		const now = performance.now();
		if (now - plannedAt < planIntervalMs) {
			return;
		}

		updateStreams(ready, now - plannedAt);
		plannedAt = now;
		const slots = new Map(ready.map(({incarnation, slots}) => [incarnation, slots]));
		order ??= rankByHash('streams', slots.keys().toArray());
		const {size} = reserved;
		const endpoints = order.map(incarnation => ({incarnation, slots: slots.get(incarnation) ?? 0, speedFactor: getSpeedFactor(incarnation)}));
		reserved = planReservation({endpoints, streams: plannedStreams, maximumShare});
		spared = planReservation({endpoints, streams: plannedStreams * sparedFactor, maximumShare});
		if (reserved.size !== size) {
			onPlanned?.(reserved.size, Math.round(plannedStreams));
		}
	}

	/**
	Reserved candidates with fewer requests than planned, or else those with a free slot.
	*/
	function listReserved(candidates: readonly KnownEndpoint[]): readonly KnownEndpoint[] {
		const free = candidates.filter(({incarnation, slots}) => reserved.has(incarnation) && loads.get(incarnation).open < slots);
		const planned = free.filter(({incarnation}) => loads.get(incarnation).open < (reserved.get(incarnation) ?? 0));
		return planned.length === 0 ? free : planned;
	}

	return {
		setPauseObjective(milliseconds) {
			shortestMs = milliseconds;
		},
		markChanged() {
			order = undefined;
		},
		isProtected,
		listAllowed({ready, candidates, pauseObjectiveMs, getSpeedFactor, canWait}) {
			if (maximumShare === 0 || shortestMs === 0 || ready.length < minimumEndpoints) {
				return candidates;
			}

			updatePlan(ready, getSpeedFactor);
			if (isProtected(pauseObjectiveMs)) {
				const free = listReserved(candidates);
				return free.length === 0 ? candidates : free;
			}

			const others = candidates.filter(({incarnation}) => !spared.has(incarnation));
			return others.length > 0 || (canWait && ready.some(({incarnation}) => !spared.has(incarnation))) ? others : candidates;
		},
	};
}

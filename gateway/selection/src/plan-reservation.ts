import type {ReservableEndpoint} from './reservable-endpoint.ts';

type ReservationInput = {
	/**
	Endpoints in an order that all nodes agree on.
	*/
	readonly endpoints: readonly ReservableEndpoint[];
	/**
	Streams to make room for, over all nodes.
	*/
	readonly streams: number;
	/**
	Maximum share of the endpoints that is reserved.
	*/
	readonly maximumShare: number;
};

/**
Share of a reserved endpoint's slots that its streams are planned to use. The rest is for streams that arrive between two plans.
*/
const plannedShare = 0.85;
/**
Maximum streams for an endpoint, so that prefilling the prompts of new ones rarely interrupts the others.
*/
const maximumStreams = 32;
/**
Speed factors of fast and slow endpoints. Between them, endpoints count as equal, so that noise in the measured speeds does not move
the reservation.
*/
const fastFactor = 1.2;
const slowFactor = 0.8;

/**
 Plans which endpoints are kept free of long prefills, as many as the streams need, the fastest first, and the number of streams for
 each. Nodes with the same view plan
 the same, and a larger plan contains each smaller one.

 Load it answers: long prompts fill all endpoints of a pool while streams with short pause objectives run on them. An engine
 interrupts its streams in each step in which it prefills, so that a few prompts on every engine make nearly all streams late.

 @example
 planReservation({endpoints, streams: 40, maximumShare: 0.4}).size; // 5
 */
export function planReservation({endpoints, streams, maximumShare}: ReservationInput): ReadonlyMap<string, number> {
	const reserved = new Map<string, number>();
	const maximum = Math.floor(endpoints.length * maximumShare);
	// One standard deviation of a Poisson process above the mean.
	let missingSlots = streams + Math.sqrt(streams);
	for (const {incarnation, slots} of endpoints.toSorted((a, b) => classifySpeed(b) - classifySpeed(a))) {
		if (missingSlots <= 0 || reserved.size >= maximum) {
			return reserved;
		}

		const planned = Math.min(slots * plannedShare, maximumStreams);
		reserved.set(incarnation, planned);
		missingSlots -= planned;
	}

	return reserved;
}

function classifySpeed({speedFactor}: ReservableEndpoint): number {
	if (speedFactor >= fastFactor) {
		return 1;
	}

	return speedFactor < slowFactor ? -1 : 0;
}

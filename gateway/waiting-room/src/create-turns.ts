import {pickPermitOwner, type FleetNodes} from '@valvesaddle/selection';
import type {Turns} from './turns.ts';

/**
Length of the slots of time, in milliseconds: an endpoint gets one request a slot at most from those that wait anywhere, about as many as
it ends, while news of them are on their way.
*/
const slotMs = 20;
/**
Time for which a place that a request of this node has left is this node's, in milliseconds: other nodes hear of it meanwhile.
*/
const freedMs = 200;

/**
Incarnations at which places are remembered.
*/
const mostFreed = 2000;

type TurnsOptions = {
	readonly fleet: FleetNodes;
	/**
	Converts a time on the monotonic clock to Unix milliseconds, on which the slots of all nodes are aligned.
	*/
	readonly toUnixTime: (at: number) => number;
};

/**
 Creates the turns of a node. All nodes agree on the owner of a slot without a message; a node that knows other nodes than the rest
 takes turns of its own, which endpoints that are full refuse.

 @example
 const turns = createTurns({fleet: {self: 'n1', list: () => ['n1', 'n2']}, toUnixTime: at => startedAt + at});
 turns.recordFreed('i-7f');
 turns.hasTurn('i-7f'); // true
 */
export function createTurns({fleet, toUnixTime}: TurnsOptions): Turns {
	/**
	Times at which places were left, by incarnation, oldest first.
	*/
	const freed = new Map<string, readonly number[]>();
	const used = new Map<string, number>();

	function listFreed(incarnation: string): readonly number[] {
		const oldest = performance.now() - freedMs;
		return (freed.get(incarnation) ?? []).filter(at => at >= oldest);
	}

	function setFreed(incarnation: string, times: readonly number[]): void {
		if (times.length === 0) {
			freed.delete(incarnation);
		} else {
			freed.set(incarnation, times);
		}
	}

	function getSlot(): number {
		return Math.floor(toUnixTime(performance.now()) / slotMs);
	}

	function isOwnSlot(incarnation: string): boolean {
		const slot = getSlot();
		return used.get(incarnation) !== slot && pickPermitOwner(`${incarnation} ${slot}`, fleet.list().toSorted()) === fleet.self;
	}

	return {
		recordFreed(incarnation) {
			if (freed.size >= mostFreed) {
				freed.clear();
			}

			setFreed(incarnation, [...listFreed(incarnation), performance.now()]);
		},
		hasTurn: incarnation => listFreed(incarnation).length > 0 || isOwnSlot(incarnation),
		take(incarnation) {
			const [, ...rest] = listFreed(incarnation);
			if (listFreed(incarnation).length > 0) {
				setFreed(incarnation, rest);
				return;
			}

			const slot = getSlot();
			for (const [other, usedSlot] of used) {
				if (usedSlot < slot) {
					used.delete(other);
				}
			}

			used.set(incarnation, slot);
		},
	};
}

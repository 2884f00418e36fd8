import type {BodyPlaces} from './body-places.ts';

type BodyPlacesOptions = {
	/**
	Bytes from which a body is large.
	*/
	readonly largeBytes: number;
	/**
	Large bodies that this node has open at one endpoint at most.
	*/
	readonly most: number;
};

/**
 Creates the places for large bodies. Answers the load of many large bodies at once: an endpoint ends when those that it holds exceed
 its memory, which it does not state, so that each node has only a few open there, and spreads them.

 @example
 const places = createBodyPlaces({largeBytes: 262_144, most: 2});
 const giveBack = places.take('e-1', 1_000_000);
 */
export function createBodyPlaces({largeBytes, most}: BodyPlacesOptions): BodyPlaces {
	const open = new Map<string, number>();

	function count(incarnation: string): number {
		return open.get(incarnation) ?? 0;
	}

	function add(incarnation: string, change: number): void {
		const newCount = count(incarnation) + change;
		if (newCount === 0) {
			open.delete(incarnation);
		} else {
			open.set(incarnation, newCount);
		}
	}

	return {
		narrow(candidates, bytes) {
			if (bytes < largeBytes) {
				return candidates;
			}

			const fewest = Math.min(...candidates.map(({incarnation}) => count(incarnation)));
			return fewest >= most ? [] : candidates.filter(({incarnation}) => count(incarnation) === fewest);
		},
		take(incarnation, bytes) {
			if (bytes < largeBytes) {
				return () => {
					// It has no place.
				};
			}

			add(incarnation, 1);
			let isTaken = true;
			return () => {
				if (!isTaken) {
					return;
				}

				isTaken = false;
				add(incarnation, -1);
			};
		},
	};
}

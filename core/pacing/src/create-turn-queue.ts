import type {ChunkSource} from './chunk-source.ts';
import type {TurnQueue} from './turn-queue.ts';

/**
 Creates the queue of coarse sources, any of which may hold a whole read of small chunks.

 @example
 const turns = createTurnQueue();
 turns.add(source);
 turns.setAside(); // pauses it until the next turn
 */
export function createTurnQueue(): TurnQueue {
	const reading = new Set<ChunkSource>();
	const waiting = new Set<ChunkSource>();
	let turn: NodeJS.Immediate | undefined;

	function releaseNext(): void {
		turn = undefined;
		const [next] = waiting;
		if (next === undefined) {
			return;
		}

		waiting.delete(next);
		reading.add(next);
		turn = setImmediate(releaseNext);
		next.resume();
	}

	return {
		add(source) {
			reading.add(source);
		},
		remove(source) {
			reading.delete(source);
			return waiting.delete(source);
		},
		setAside() {
			for (const source of reading) {
				reading.delete(source);
				waiting.add(source);
				source.pause();
			}

			turn ??= setImmediate(releaseNext);
		},
	};
}

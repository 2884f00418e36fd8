import type {ChunkMeter} from './chunk-meter.ts';
import type {ChunkPacer} from './chunk-pacer.ts';
import type {ChunkPacerOptions} from './chunk-pacer-options.ts';
import type {ChunkSource} from './chunk-source.ts';
import {createTurnQueue} from './create-turn-queue.ts';

/**
Bytes for which the work on a chunk is the same as that on the chunk itself. Larger chunks pay for smaller ones.
*/
const bytesPerChunk = 256;
/**
Small chunks that a source may send at once.
*/
const allowanceChunks = 512;
/**
Rate at which the allowance comes back, in chunks a millisecond: many times that of a stream of tokens.
*/
const allowancePerMs = 2;
/**
Longest time until the next paused source is read on, in milliseconds.
*/
const maximumDebtMs = 1000;
const msPerS = 1000;

type PausedSource = {
	/**
	Returns the chunks that the source has sent since the last call, and forgets them.
	*/
	readonly takeChunks: () => number;
	readonly resume: () => void;
};

/**
 Creates the pacer of a process. Answers the load of sources whose chunks carry a few bytes each: these are read on one after the
 other, as fast as the shared rate allows, and all other sources in between.

 @example
 const pacer = createChunkPacer({chunksPerS: 100_000});
 const meter = pacer.open({isCoarse: false, pause: () => socket.pause(), resume: () => socket.resume(), onSlowed() {}});
 meter.record(chunk.length);
 */
export function createChunkPacer({chunksPerS}: ChunkPacerOptions): ChunkPacer {
	const chunksPerMs = chunksPerS / msPerS;
	const paused = new Set<PausedSource>();
	const turns = createTurnQueue();
	/**
	Chunks that may be read now; negative while read ones are not paid for.
	*/
	let spare = 0;
	let updatedAt = performance.now();
	let timer: NodeJS.Timeout | undefined;

	function updateSpare(): void {
		const now = performance.now();
		spare = Math.min(allowanceChunks, spare + ((now - updatedAt) * chunksPerMs));
		updatedAt = now;
	}

	/**
	Takes chunks that were read. What ended sources have left unpaid holds up the others for a bounded time.
	*/
	function takeSpare(chunks: number): void {
		spare = Math.max(-maximumDebtMs * chunksPerMs, spare - chunks);
	}

	function startTimer(): void {
		if (timer === undefined && paused.size > 0) {
			timer = setTimeout(releaseNext, Math.max(0, -spare / chunksPerMs));
		}
	}

	function releaseNext(): void {
		timer = undefined;
		updateSpare();
		const [next] = paused;
		takeSpare(next?.takeChunks() ?? 0);
		if (next !== undefined && spare >= 0) {
			paused.delete(next);
			next.resume();
		}

		startTimer();
	}

	function open(source: ChunkSource): ChunkMeter {
		let debt = 0;
		let settledAt = performance.now();
		let wasSlowed = false;
		const self: PausedSource = {
			takeChunks() {
				const chunks = debt;
				debt = 0;
				settledAt = performance.now();
				return chunks;
			},
			resume() {
				markReading();
				source.resume();
			},
		};

		function markReading(): void {
			if (source.isCoarse) {
				turns.add(source);
			}
		}

		function checkAllowance(): void {
			const now = performance.now();
			debt = Math.max(0, debt - ((now - settledAt) * allowancePerMs));
			settledAt = now;
			if (debt <= allowanceChunks) {
				return;
			}

			paused.add(self);
			source.pause();
			if (source.isCoarse) {
				turns.remove(source);
				turns.setAside();
			}

			updateSpare();
			takeSpare(self.takeChunks());
			startTimer();
			if (wasSlowed) {
				return;
			}

			wasSlowed = true;
			source.onSlowed();
		}

		markReading();
		return {
			record(bytes) {
				debt = Math.max(0, debt + 1 - (bytes / bytesPerChunk));
				if (debt > allowanceChunks && !paused.has(self)) {
					checkAllowance();
				}
			},
			close() {
				const wasPaused = paused.delete(self);
				if (wasPaused) {
					takeSpare(debt);
				}

				const wasWaiting = turns.remove(source);
				if (wasPaused || wasWaiting) {
					source.resume();
				}
			},
		};
	}

	return {open, countPaused: () => paused.size};
}

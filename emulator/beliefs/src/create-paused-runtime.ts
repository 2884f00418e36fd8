import {syncBuiltinESMExports} from 'node:module';
import timersPromises from 'node:timers/promises';
import {Clock} from 'clock-mock';
import {createRandom} from '@valvesaddle/random';
import type {PausedRuntime} from './paused-runtime.ts';

/**
Time of the paused clock at the start, in milliseconds: any but 0, which stands for "never" in places.
*/
const startMs = 1_000_000;

/**
 Pauses the clock of the runtime and seeds its random numbers, for all modules of the process, until it is closed. Timers of
 `node:timers/promises` are covered too.

 @example
 const runtime = createPausedRuntime(7);
 runtime.add(20, () => {});
 await runtime.advance(1000);
 runtime.close();
 */
export function createPausedRuntime(seed: number): PausedRuntime {
	const paused = new Clock();
	paused.travel(startMs);
	const exit = paused.enter();
	const {random: unseeded} = Math;
	const {setTimeout: unpaused} = timersPromises;
	Math.random = createRandom(seed);
	Object.assign(timersPromises, {
		setTimeout: async (milliseconds: number, value: unknown, options: {readonly signal?: AbortSignal} = {}) => paused.setTimeoutPromise(milliseconds, value, options),
	});
	syncBuiltinESMExports();

	/**
	Timers of a fraction of a millisecond are run with the next whole one.
	*/
	function findDue(): number {
		let due = Infinity;
		for (const at of paused.timers.keys()) {
			due = Math.min(due, Math.ceil(at));
		}

		return due;
	}

	return {
		now: () => paused.now() - startMs,
		add(atMs, handler) {
			paused.setTimeout(handler, startMs + atMs - paused.now());
		},
		async advance(untilMs) {
			const until = startMs + untilMs;
			await timersPromises.setImmediate();
			for (let due = findDue(); due <= until; due = findDue()) {
				paused.advance(due - paused.now());
				// eslint-disable-next-line no-await-in-loop -- all that follows from this moment comes before the next
				await timersPromises.setImmediate();
			}

			paused.advance(Math.max(0, until - paused.now()));
		},
		close() {
			Math.random = unseeded;
			Object.assign(timersPromises, {setTimeout: unpaused});
			syncBuiltinESMExports();
			exit();
		},
	};
}

import {syncBuiltinESMExports} from 'node:module';
import timersPromises from 'node:timers/promises';
import {Clock} from 'clock-mock';
import {createRandom} from '@valvesaddle/random';
import type {PausedRuntime} from './paused-runtime.ts';

/**
Time of the paused clock at the start, in milliseconds; not 0, which can mean "never".
*/
const startMs = 1_000_000;

/**
 Pauses the clock and seeds `Math.random` for all modules of the process until it is closed. Covers the timers of
 `node:timers/promises` too.

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
	const {random: unseededRandom} = Math;
	const {setTimeout: unpausedTimeout, setImmediate: unpausedImmediate} = timersPromises;
	Math.random = createRandom(seed);
	Object.assign(timersPromises, {
		setTimeout: async (milliseconds: number, value: unknown, options: {readonly signal?: AbortSignal} = {}) => paused.setTimeoutPromise(milliseconds, value, options),
		setImmediate: async (value: unknown, options: {readonly signal?: AbortSignal} = {}) => paused.setImmediatePromise(value, options),
	});
	syncBuiltinESMExports();

	/**
	Rounds up, so that timers due at a fraction of a millisecond run at the next whole one.
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
			await unpausedImmediate();
			for (let due = findDue(); due <= until; due = findDue()) {
				paused.advance(due - paused.now());
				// eslint-disable-next-line no-await-in-loop -- promises of this time settle before the next time
				await unpausedImmediate();
			}

			paused.advance(Math.max(0, until - paused.now()));
		},
		close() {
			Math.random = unseededRandom;
			Object.assign(timersPromises, {setTimeout: unpausedTimeout, setImmediate: unpausedImmediate});
			syncBuiltinESMExports();
			exit();
		},
	};
}

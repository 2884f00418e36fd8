import type {EmulationClock} from './emulation-clock.ts';
import type {NodeThread} from './node-thread.ts';
import type {NodeThreads} from './node-threads.ts';

type ExpiredTimer = {
	readonly dueAt: number;
	readonly handler: () => void;
};

type ThreadState = {
	stillUntil: number;
	/**
	Timers that expired while the node stood still, and handlers of what has arrived.
	*/
	readonly timers: Map<unknown, ExpiredTimer>;
	readonly arrived: Array<() => void>;
};

/**
 Creates the threads of emulated nodes. A node that stands still handles nothing. Afterwards it runs its expired timers first and
 then handles what has arrived, as the runtime does if it stood still while it handled input. `setTimeout`, `clearTimeout` and `setImmediate` of the process
 are replaced until `exit`, so that a timer belongs to the node that has set it.

 @example
 const threads = createNodeThreads(clock);
 const thread = threads.create();
 thread.pause(700);
 threads.exit();
 */
export function createNodeThreads(clock: EmulationClock): NodeThreads {
	const {setTimeout: setProcessTimeout, clearTimeout: clearProcessTimeout, setImmediate: setProcessImmediate} = globalThis;
	let current: ThreadState | undefined;

	function runOn(state: ThreadState, handler: () => void): void {
		const before = current;
		current = state;
		try {
			handler();
		} finally {
			current = before;
		}
	}

	function isStill({stillUntil}: ThreadState): boolean {
		return clock.now() < stillUntil;
	}

	function runTimer(state: ThreadState, timer: unknown, expired: ExpiredTimer): void {
		if (isStill(state)) {
			state.timers.set(timer, expired);
		} else {
			runOn(state, expired.handler);
		}
	}

	function runWaiting(state: ThreadState): void {
		const timers = [...state.timers].toSorted(([, a], [, b]) => a.dueAt - b.dueAt);
		for (const [timer, {handler}] of timers) {
			// One that has run may have cleared the next one.
			if (state.timers.delete(timer)) {
				runOn(state, handler);
			}
		}

		for (const handler of state.arrived.splice(0)) {
			runOn(state, handler);
		}
	}

	function startTimer(handler: () => void, milliseconds?: number): unknown {
		const state = current;
		const dueAt = performance.now() + (milliseconds ?? 0);
		const timer = setProcessTimeout(() => {
			if (state === undefined) {
				handler();
			} else {
				runTimer(state, timer, {dueAt, handler});
			}
		}, milliseconds);
		return timer;
	}

	function removeTimer(timer: NodeJS.Timeout | undefined): void {
		current?.timers.delete(timer);
		clearProcessTimeout(timer);
	}

	function startImmediate(handler: () => void): unknown {
		const state = current;
		return setProcessImmediate(() => {
			if (state === undefined) {
				handler();
			} else {
				runTimer(state, Symbol('immediate'), {dueAt: performance.now(), handler});
			}
		});
	}

	Object.assign(globalThis, {setTimeout: startTimer, clearTimeout: removeTimer, setImmediate: startImmediate});

	function createThread(): NodeThread {
		const state: ThreadState = {stillUntil: 0, timers: new Map(), arrived: []};
		return {
			run(handler) {
				if (isStill(state)) {
					state.arrived.push(handler);
				} else {
					runOn(state, handler);
				}
			},
			runTimer(handler) {
				runTimer(state, Symbol('timer'), {dueAt: clock.now(), handler});
			},
			pause(milliseconds) {
				state.stillUntil = Math.max(state.stillUntil, clock.now() + milliseconds);
				clock.add(milliseconds, () => {
					if (!isStill(state)) {
						runWaiting(state);
					}
				});
			},
		};
	}

	return {
		create: createThread,
		exit() {
			Object.assign(globalThis, {setTimeout: setProcessTimeout, clearTimeout: clearProcessTimeout, setImmediate: setProcessImmediate});
		},
	};
}

import {createEngine, type EngineSpeed} from '@valvesaddle/emulator-engine';
import type {EmulatedEndpoint} from './emulated-endpoint.ts';
import type {EmulationClock} from './emulation-clock.ts';

type EmulatedEndpointOptions = {
	readonly id: string;
	readonly clock: EmulationClock;
	readonly speed: EngineSpeed;
	readonly slowness: number;
	readonly linkMs: number;
	/**
	Parts of prompts that some engine has read.
	*/
	readonly everKept: Set<string>;
};

/**
 Creates an emulated engine behind a link.

 @example
 const endpoint = createEmulatedEndpoint({id: 'e-0', clock, speed, slowness: 1, linkMs: 1, everKept: new Set()});
 endpoint.send(job, () => {});
 */
export function createEmulatedEndpoint({id, clock, speed, slowness, linkMs, everKept}: EmulatedEndpointOptions): EmulatedEndpoint {
	const engine = createEngine(speed, everKept);
	const open = new Map<string, () => void>();
	let isStepping = false;
	let isDark = false;
	let life = 0;
	engine.setSlowness(slowness);

	function startSteps(): void {
		const milliseconds = isStepping || isDark ? undefined : engine.startStep();
		if (milliseconds === undefined) {
			return;
		}

		isStepping = true;
		const startedIn = life;
		clock.add(milliseconds, () => {
			if (startedIn !== life) {
				return;
			}

			engine.endStep();
			isStepping = false;
			startSteps();
		});
	}

	function removeAll(): void {
		life++;
		isStepping = false;
		engine.drop();
	}

	function answerLater(jobId: string, handler: () => void): void {
		clock.add(linkMs, () => {
			if (open.has(jobId)) {
				handler();
			}
		});
	}

	return {
		id,
		send(job, onLost) {
			open.set(job.id, onLost);
			clock.add(linkMs, () => {
				if (isDark || !open.has(job.id)) {
					return;
				}

				engine.add({
					...job,
					onEvent(number) {
						answerLater(job.id, () => {
							job.onEvent(number);
						});
					},
					onEnd() {
						answerLater(job.id, () => {
							open.delete(job.id);
							job.onEnd();
						});
					},
					onRefused() {
						answerLater(job.id, () => {
							open.delete(job.id);
							job.onRefused();
						});
					},
				});
				startSteps();
			});
		},
		abort(jobId) {
			open.delete(jobId);
			clock.add(linkMs, () => {
				engine.remove(jobId);
			});
		},
		crash() {
			removeAll();
			const lost = open.values().toArray();
			open.clear();
			for (const handler of lost) {
				clock.add(linkMs, handler);
			}
		},
		setDark(dark) {
			isDark = dark;
			removeAll();
		},
		setSlowness(factor) {
			engine.setSlowness(slowness * factor);
		},
		counts: engine.counts,
	};
}

import {createEngine, type EngineProfile} from '@valvesaddle/emulator-engine';
import type {EmulatedEndpoint} from './emulated-endpoint.ts';
import type {EmulationClock} from './emulation-clock.ts';
import {createNoticeCheck} from './create-notice-check.ts';
import type {EmulatedSender} from './emulated-sender.ts';
import type {Overload} from './overload.ts';

type EmulatedEndpointOptions = {
	readonly id: string;
	readonly clock: EmulationClock;
	readonly speed: EngineProfile;
	readonly slowness: number;
	readonly linkMs: number;
	/**
	Parts of prompts that some engine has read.
	*/
	readonly everKept: Set<string>;
	readonly random: () => number;
	/**
	Time for which the engine asks for no more requests when it is full.
	*/
	readonly fullRetryAfterMs: number | undefined;
};

/**
 Creates an emulated engine behind a link.

 @example
 const endpoint = createEmulatedEndpoint({id: 'e-0', clock, speed, slowness: 1, linkMs: 1, everKept: new Set(), random, fullRetryAfterMs: undefined});
 endpoint.send(job, {node: 'n-0', onLost() {}, onRefused() {}});
 */
export function createEmulatedEndpoint({id, clock, speed, slowness, linkMs, everKept, random, fullRetryAfterMs}: EmulatedEndpointOptions): EmulatedEndpoint {
	const engine = createEngine(speed, everKept);
	const open = new Map<string, () => void>();
	const check = createNoticeCheck();
	let overload: Overload | undefined;
	let isLeaving = false;
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

	function refuse(jobId: string, {node, onRefused}: EmulatedSender, retryAfterMs: number | undefined): void {
		if (retryAfterMs !== undefined) {
			check.recordCooldown(node, retryAfterMs);
		}

		answerLater(jobId, () => {
			open.delete(jobId);
			onRefused(retryAfterMs);
		});
	}

	return {
		id,
		send(job, sender) {
			open.set(job.id, sender.onLost);
			clock.add(linkMs, () => {
				if (isDark || !open.has(job.id)) {
					return;
				}

				check.recordArrival(sender.node);
				if (overload !== undefined && random() < overload.share) {
					refuse(job.id, sender, overload.retryAfterMs);
					return;
				}

				engine.add({
					...job,
					onEvent(number) {
						answerLater(job.id, () => {
							// The head of the answer comes with the first event.
							if (isLeaving && number === job.firstEvent) {
								check.recordDraining(sender.node);
							}

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
						refuse(job.id, sender, fullRetryAfterMs);
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
		setUnresponsive(dark) {
			isDark = dark;
			removeAll();
		},
		setSlowness(factor) {
			engine.setSlowness(slowness * factor);
		},
		setOverload(kind) {
			overload = kind;
		},
		startDraining() {
			isLeaving = true;
		},
		isLeaving: () => isLeaving,
		countBrokenNotices: check.countBrokenNotices,
		counts: engine.counts,
	};
}

import {createEngine, type EngineProfile} from '@valvesaddle/emulator-engine';
import type {EmulatedEndpoint} from './emulated-endpoint.ts';
import type {EmulationClock} from './emulation-clock.ts';
import {createNoticeCheck} from './create-notice-check.ts';
import {createLimitCheck} from './create-limit-check.ts';
import type {EmulatedSender} from './emulated-sender.ts';
import type {Overload} from './overload.ts';

type EmulatedEndpointOptions = {
	readonly id: string;
	readonly clock: EmulationClock;
	readonly profile: EngineProfile;
	readonly slowness: number;
	readonly linkMs: number;
	/**
	Prompt parts that some engine has prefilled.
	*/
	readonly everCached: Set<string>;
	readonly random: () => number;
	/**
	Cooldown that the engine requests when it is full, in milliseconds.
	*/
	readonly fullRetryAfterMs: number | undefined;
};

/**
Urgency of prompts that no node has sent: before all others.
*/
const foreignUrgency = -1;

/**
 Creates an emulated endpoint: an engine behind a link.

 @example
 const endpoint = createEmulatedEndpoint({id: 'e-0', clock, profile, slowness: 1, linkMs: 1, everCached: new Set(), random, fullRetryAfterMs: undefined});
 endpoint.send(job, {node: 'n-0', onLost() {}, onRefused() {}});
 */
export function createEmulatedEndpoint({id, clock, profile, slowness, linkMs, everCached, random, fullRetryAfterMs}: EmulatedEndpointOptions): EmulatedEndpoint {
	const engine = createEngine(profile, everCached);
	const open = new Map<string, () => void>();
	/**
	Requests that the engine has answered to the end.
	*/
	const ended = new Set<string>();
	const check = createNoticeCheck();
	const limitCheck = createLimitCheck();
	let limit: number | undefined;
	let overload: Overload | undefined;
	let isLeaving = false;
	let isStepping = false;
	let isUnresponsive = false;
	let pausedUntil = 0;
	let foreignPrompts = 0;
	let incarnation = 0;
	let refusals = 0;
	engine.setSlowness(slowness);

	/**
	Runs a handler now, or when the engine's pause is over.
	*/
	function waitForPause(handler: () => void): void {
		const remainingMs = pausedUntil - clock.now();
		if (remainingMs > 0) {
			clock.add(remainingMs, () => {
				waitForPause(handler);
			});
		} else {
			handler();
		}
	}

	function startSteps(): void {
		const milliseconds = isStepping || isUnresponsive ? undefined : engine.startStep();
		if (milliseconds === undefined) {
			return;
		}

		isStepping = true;
		const startedIncarnation = incarnation;
		clock.add(milliseconds, () => {
			waitForPause(() => {
				if (startedIncarnation === incarnation) {
					endStep();
				}
			});
		});
	}

	function endStep(): void {
		engine.endStep();
		isStepping = false;
		startSteps();
	}

	function removeAll(): void {
		incarnation++;
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
		refusals++;
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
				if (isUnresponsive || !open.has(job.id)) {
					return;
				}

				check.recordArrival(sender.node);
				limitCheck.recordArrival(sender.node);
				if (overload !== undefined && random() < overload.share) {
					refuse(job.id, sender, overload.retryAfterMs);
					return;
				}

				engine.add({
					...job,
					onEvent(number) {
						answerLater(job.id, () => {
							// The headers of the answer are sent with the first event.
							if (isLeaving && number === job.firstEvent) {
								check.recordDraining(sender.node);
							}

							job.onEvent(number);
						});
					},
					onEnd() {
						ended.add(job.id);
						answerLater(job.id, () => {
							open.delete(job.id);
							job.onEnd();
						});
					},
					onRefused() {
						refuse(job.id, sender, fullRetryAfterMs);
					},
				});
				waitForPause(startSteps);
			});
		},
		abort(jobId, request) {
			open.delete(jobId);
			clock.add(linkMs, () => {
				if (ended.has(jobId)) {
					request?.onEnd(0);
				}

				engine.remove(jobId, request);
			});
		},
		pause(milliseconds) {
			pausedUntil = Math.max(pausedUntil, clock.now() + milliseconds);
		},
		addForeignPrompt(tokens) {
			engine.add({
				id: `foreign ${foreignPrompts++}`, promptTokens: tokens, shared: [], events: 1, firstEvent: 0, urgency: foreignUrgency, onEvent() {
					// Read by nobody.
				}, onEnd() {
					// Not awaited.
				}, onRefused() {
					// Not sent again.
				},
			});
			waitForPause(startSteps);
		},
		crash() {
			removeAll();
			const lost = open.values().toArray();
			open.clear();
			for (const handler of lost) {
				clock.add(linkMs, handler);
			}
		},
		setUnresponsive(isOn) {
			isUnresponsive = isOn;
			removeAll();
		},
		setSlowness(factor) {
			engine.setSlowness(slowness * factor);
		},
		setOverload(newOverload) {
			overload = newOverload;
		},
		startDraining() {
			isLeaving = true;
		},
		isLeaving: () => isLeaving,
		setLimit(perSecond) {
			limit = perSecond;
			limitCheck.end();
		},
		takeLimit(node) {
			if (limit !== undefined) {
				limitCheck.recordLimit(node, limit);
			}

			return limit;
		},
		countExcess: limitCheck.countExcess,
		countBrokenNotices: check.countBrokenNotices,
		countRefusals: () => refusals,
		counts: engine.counts,
	};
}

import {Clock} from 'clock-mock';
import {randomExponential} from 'd3-random';
import {createRandom} from '@valvesaddle/random';
import type {CallerClass} from './caller-class.ts';
import type {CallerOutcome} from './caller-outcome.ts';
import {createAttemptRecord} from './create-attempt-record.ts';
import {createCrashCheck} from './create-crash-check.ts';
import {createEmulatedEndpoint} from './create-emulated-endpoint.ts';
import {createEmulatedExchanges} from './create-emulated-exchanges.ts';
import {createEmulatedNode} from './create-emulated-node.ts';
import {createEmulationClock} from './create-emulation-clock.ts';
import {createNodeThreads} from './create-node-threads.ts';
import {createPromptSource} from './create-prompt-source.ts';
import type {EmulatedEndpoint} from './emulated-endpoint.ts';
import type {EmulatedNode} from './emulated-node.ts';
import type {EmulationClock} from './emulation-clock.ts';
import type {EmulationFault} from './emulation-fault.ts';
import type {EmulationLoad} from './emulation-load.ts';
import type {EmulationOptions} from './emulation-options.ts';
import type {EmulationReport} from './emulation-report.ts';
import {startCaller} from './start-caller.ts';
import {startLoadUpdates} from './start-load-updates.ts';
import {summarizeOutcomes} from './summarize-outcomes.ts';

const msPerSecond = 1000;
/**
Added to the seed for the random numbers of the nodes, so that they are independent of those of the load.
*/
const nodeSeed = 1_000_003;
/**
Added to the seed for the random numbers of the engines.
*/
const faultSeed = 2_000_003;
/**
Time after the last arrival in which open requests may end, in milliseconds.
*/
const tailMs = 20_000;

const faultHandlers: Readonly<Record<Exclude<EmulationFault['kind'], 'node-pause' | 'crashing-request'>, (clock: EmulationClock, endpoint: EmulatedEndpoint, fault: EmulationFault) => void>> = {
	crash(_clock, endpoint) {
		endpoint.crash();
	},
	dark(clock, endpoint, {forMs}) {
		endpoint.setUnresponsive(true);
		clock.add(forMs, () => {
			endpoint.setUnresponsive(false);
		});
	},
	slow(clock, endpoint, {factor, forMs}) {
		endpoint.setSlowness(factor);
		clock.add(forMs, () => {
			endpoint.setSlowness(1);
		});
	},
	overload(clock, endpoint, {factor, forMs, retryAfterMs}) {
		endpoint.setOverload({share: factor, retryAfterMs});
		clock.add(forMs, () => {
			endpoint.setOverload(undefined);
		});
	},
	leave(_clock, endpoint) {
		endpoint.startDraining();
	},
	limit(clock, endpoint, {factor, forMs}) {
		endpoint.setLimit(factor);
		clock.add(forMs, () => {
			endpoint.setLimit(undefined);
		});
	},
	pause(_clock, endpoint, {forMs}) {
		endpoint.pause(forMs);
	},
	'foreign-prompt'(_clock, endpoint, {factor}) {
		endpoint.addForeignPrompt(factor);
	},
};

/**
 Runs a load against emulated engines through the forwarders and selectors of the nodes, and summarizes the callers'
 outcomes. The clock of the process is paused and `Math.random` is seeded meanwhile.

 @example
 runEmulation({load, seed: 7, selection, admission}).worth; // 0.93
 */
export function runEmulation({load, seed, selection, admission, leaving = 'secured', isReadFirst = false, isFailureCounted = true, isWaiting = false}: EmulationOptions): EmulationReport {
	const paused = new Clock();
	const exit = paused.enter();
	const {random: unseededRandom} = Math;
	Math.random = createRandom(seed + nodeSeed);
	const clock = createEmulationClock(paused);
	const threads = createNodeThreads(clock);
	try {
		const random = createRandom(seed);
		const attempts = createAttemptRecord({linkMs: load.linkMs});
		const source = createPromptSource(random, load.engine.tokensPerEvent);
		const everCached = new Set<string>();
		const faultRandom = createRandom(seed + faultSeed);
		const endpoints = new Map(load.slowness.map((slowness, index) => [`e-${index}`, createEmulatedEndpoint({
			id: `e-${index}`, clock, profile: load.engine, slowness, linkMs: load.linkMs, everCached, random: faultRandom, fullRetryAfterMs: load.fullRetryAfterMs,
		})]));
		let connections = 0;
		const crashCheck = createCrashCheck();
		const nodes: readonly EmulatedNode[] = Array.from({length: load.nodes}, (_value, index) => {
			const thread = threads.create();
			return createEmulatedNode({
				id: `n-${index}`, load, selection, admission, thread, logger: attempts.logger, leaving, isReadFirst, isFailureCounted, isWaiting,
				onCrashes(rows) {
					clock.add(load.linkMs, () => {
						for (const node of nodes) {
							node.quarantine.merge(rows);
						}
					});
				},
				exchanges: createEmulatedExchanges({
					node: `n-${index}`, crashCheck, endpoints, thread, attempts, findPrompt: source.find, onConnect() {
						connections++;
					},
					onCrash(endpoint) {
						crashCheck.recordCrash();
						endpoint.crash();
						// Nodes that connect again meanwhile are refused.
						clock.add(load.linkMs, () => {
							for (const node of nodes) {
								node.crashDetector.recordEnded(endpoint.id, 'refused');
							}
						});
					},
				}), endpoints: endpoints.keys().toArray(),
			});
		});
		const outcomes: CallerOutcome[] = [];
		startLoadUpdates({
			clock, nodes, load, untilMs: load.lengthMs + tailMs,
		});
		for (const kind of load.classes) {
			startArrivals({
				clock, kind, random, lengthMs: load.lengthMs,
			}, () => {
				startCaller({
					clock,
					kind,
					prompt: source.draw(kind),
					chooseNode: () => nodes[Math.floor(random() * nodes.length)]!,
					onOutcome(outcome) {
						outcomes.push(outcome);
					},
				});
			});
		}

		function startCrashingRequest({forMs, factor}: EmulationFault): void {
			for (let at = 0; at < forMs; at += msPerSecond / factor) {
				clock.add(at, () => {
					startCaller({
						clock,
						kind: {...load.classes[0]!, retries: 0},
						prompt: source.drawCrashing(load.classes[0]!),
						chooseNode: () => nodes[Math.floor(random() * nodes.length)]!,
						onOutcome() {
							// The outcomes of other requests are reported.
						},
					});
				});
			}
		}

		for (const fault of load.faults) {
			clock.add(fault.atMs, () => {
				if (fault.kind === 'crashing-request') {
					startCrashingRequest(fault);
				} else if (fault.kind === 'node-pause') {
					nodes[fault.engine]!.thread.pause(fault.forMs);
				} else {
					faultHandlers[fault.kind](clock, endpoints.get(`e-${fault.engine}`)!, fault);
				}
			});
		}

		clock.run(load.lengthMs + tailMs);
		return {
			...summarizeOutcomes(outcomes),
			attempts: attempts.count(),
			...countPrefill(endpoints.values().toArray()),
			engineRefusals: endpoints.values().reduce((sum, endpoint) => sum + endpoint.countRefusals(), 0),
			connections,
			crashes: crashCheck.countCrashes(),
			lateCrashArrivals: crashCheck.countLate(),
			excessRequests: endpoints.values().reduce((sum, endpoint) => sum + endpoint.countExcess(), 0),
			brokenNotices: endpoints.values().reduce((sum, endpoint) => sum + endpoint.countBrokenNotices(), 0),
		};
	} finally {
		threads.exit();
		Math.random = unseededRandom;
		exit();
	}
}

type Arrivals = {
	readonly clock: EmulationClock;
	readonly kind: CallerClass;
	readonly random: () => number;
	readonly lengthMs: number;
};

function startArrivals(arrivals: Arrivals, start: () => void): void {
	const {clock, kind, random, lengthMs} = arrivals;
	const now = clock.now();
	const factor = kind.bursts.find(({atMs, forMs}) => now >= atMs && now < atMs + forMs)?.factor ?? 1;
	const intervalMs = randomExponential.source(random)(kind.perSecond * factor / msPerSecond)();
	if (now + intervalMs > lengthMs) {
		return;
	}

	clock.add(intervalMs, () => {
		start();
		startArrivals(arrivals, start);
	});
}

function countPrefill(endpoints: readonly EmulatedEndpoint[]): Pick<EmulationReport, 'readTokens' | 'readAgainTokens' | 'preempted'> {
	const counts = endpoints.map(endpoint => endpoint.counts());
	return {
		readTokens: counts.reduce((sum, {prefilledTokens}) => sum + prefilledTokens, 0),
		readAgainTokens: counts.reduce((sum, {recomputedTokens}) => sum + recomputedTokens, 0),
		preempted: counts.reduce((sum, {preempted}) => sum + preempted, 0),
	};
}

import {decideAdmission, type Admission} from '@valvesaddle/admission';
import {createLogger} from '@valvesaddle/logger';
import {createMetrics} from '@valvesaddle/metrics';
import {createRandom} from '@valvesaddle/random';
import {Clock} from 'clock-mock';
import {
	createDemandTable,
	createSharing,
	type DemandTable,
	type Sharing,
} from '@valvesaddle/demand';

const stepMs = 5;
const tellMs = 100;
const objectiveMs = 600;
const callerWaitMs = 6000;
const tokensPerMs = 10;
const settings = {lateFactor: 1.3, waitFactor: 0.5, retryAfterFactor: 1.5};

/**
Callers of one account in the routes of one priority.
*/
export type Source = {
	readonly account: string;
	readonly priority: number;
	readonly promptTokens: number;
	readonly perSecond: (atMs: number) => number;
};

export type ReplayOptions = {
	readonly sources: readonly Source[];
	readonly engines: number;
	readonly nodes: number;
	readonly lengthMs: number;
	readonly isShared: boolean;
	readonly seed: number;
	readonly weights?: Readonly<Record<string, number>>;
};

/**
A caller's request from its first attempt on; `servedAt` is the first token, `undefined` if it got none in its time.
*/
export type Call = {
	readonly source: Source;
	readonly startedAt: number;
	readonly node: number;
	nextAt: number;
	refusals: number;
	servedAt?: number;
};

type Work = {readonly call: Call; readonly rank: number; leftMs: number};

/**
 Replays callers before engines that read what waits by rank, with the standing decision or with shares in addition. Refused callers
 come back after the time they are told, within what they wait.
 */
export function runLoad({sources, engines, nodes, lengthMs, isShared, seed, weights = {}}: ReplayOptions): readonly Call[] {
	const clock = new Clock();
	const leave = clock.enter();
	const random = createRandom(seed);
	const fleet = createFleet(nodes, random, sources, weights);
	const queues = Array.from({length: engines}, (): Work[] => []);
	const calls: Call[] = [];
	let returning: Call[] = [];

	function admit(call: Call, atMs: number): void {
		const {source, node} = call;
		const readMs = source.promptTokens / tokensPerMs;
		const rank = source.priority * 3;
		const [best = []] = queues.toSorted((a, b) => predictWait(a, rank) - predictWait(b, rank));
		const costMs = predictWait(best, rank) + readMs;
		const isReturned = call.refusals > 0;
		const unshared = decideAdmission({
			predictedMs: costMs, readMs, objectiveMs, elapsedMs: atMs - call.startedAt, isRetry: isReturned, draw: random(),
		}, settings);
		const request = {
			...source, id: '-', pool: 'p', outputTokens: 0, isReturned,
		};
		const {sharing} = fleet[node]!;
		sharing.recordAsked(request);
		const admission: Admission = isShared ? sharing.decide(request, {costMs, readMs, objectiveMs}, unshared) : unshared;
		if (admission.kind === 'refuse') {
			call.refusals++;
			call.nextAt = atMs + admission.retryAfterMs;
			returning.push(call);
			return;
		}

		best.push({call, rank: rank + (admission.kind === 'send' ? 0 : 2), leftMs: readMs});
	}

	for (let atMs = 0; atMs < lengthMs; atMs += stepMs) {
		clock.advance(stepMs);
		for (const source of drawAsking(sources, atMs, random)) {
			const call: Call = {
				source, startedAt: atMs, node: Math.floor(random() * nodes), nextAt: atMs, refusals: 0,
			};
			calls.push(call);
			admit(call, atMs);
		}

		const due = returning.filter(({nextAt}) => nextAt <= atMs);
		returning = returning.filter(call => call.nextAt > atMs && call.nextAt - call.startedAt < callerWaitMs);
		for (const call of due) {
			admit(call, atMs);
		}

		for (const queue of queues) {
			runEngine(queue, atMs, ({source, node}) => {
				fleet[node]!.sharing.recordServed({
					...source, id: '-', pool: 'p', outputTokens: 0,
				});
			});
		}

		if (atMs % tellMs === 0) {
			tellAll(fleet.map(({table}) => table));
		}
	}

	leave();
	return calls;
}

/**
Part of the calls of a time that got their first token late or not at all.
*/
export function measureLateness(calls: readonly Call[], fromMs: number, toMs: number, isCounted: (source: Source) => boolean): number {
	const counted = calls.filter(({source, startedAt}) => startedAt >= fromMs && startedAt < toMs && isCounted(source));
	return counted.filter(({startedAt, servedAt}) => servedAt === undefined || servedAt - startedAt > objectiveMs).length / counted.length;
}

/**
Draws the sources that ask in this step.
*/
function drawAsking(sources: readonly Source[], atMs: number, random: () => number): readonly Source[] {
	return sources.filter(({perSecond}) => random() < perSecond(atMs) * stepMs / 1000);
}

type FleetNode = {readonly table: DemandTable; readonly sharing: Sharing};

function createFleet(nodes: number, random: () => number, sources: readonly Source[], weights: Readonly<Record<string, number>>): readonly FleetNode[] {
	const logger = createLogger({node: 'n', level: 'silent'});
	const names = new Set(sources.map(({account}) => account));
	return Array.from({length: nodes}, () => {
		const table = createDemandTable({
			windowMs: 4000, countNodes: () => nodes, isOutdated: () => false, logger,
		});
		const sharing = createSharing({
			table, windowMs: 4000, logger, metrics: createMetrics(), drawNumber: random,
		});
		sharing.configure([...names].map(name => ({name, weight: weights[name]})));
		return {table, sharing};
	});
}

function predictWait(queue: readonly Work[], rank: number): number {
	return queue.filter((work, index) => index === 0 || work.rank <= rank).reduce((sum, {leftMs}) => sum + leftMs, 0);
}

/**
Runs the first of the queue, which is begun; what is next is chosen by rank.
*/
function runEngine(queue: Work[], atMs: number, onServed: (call: Call) => void): void {
	const [running] = queue;
	if (running === undefined) {
		return;
	}

	running.leftMs -= stepMs;
	if (running.leftMs > 0) {
		return;
	}

	running.call.servedAt = atMs;
	onServed(running.call);
	const waiting = queue.slice(1).filter(({call}) => atMs - call.startedAt < callerWaitMs).toSorted((a, b) => a.rank - b.rank);
	queue.splice(0, queue.length, ...waiting);
}

function tellAll(tables: readonly DemandTable[]): void {
	for (const [from, table] of tables.entries()) {
		for (const [to, other] of tables.entries()) {
			if (from !== to) {
				other.apply({
					origin: `n${from}`, nodes: 1, isMember: false, demands: table.takeForRelay(`n${to}`), unreadable: 0,
				});
			}
		}
	}
}

import {Clock} from 'clock-mock';
import {createRandom} from '@valvesaddle/random';
import {createRetryBudget} from '@valvesaddle/retry-budget';
import {
	createSelector,
	type Selection,
	type SelectionCriteria,
	type Selector,
	type SelectorOptions,
} from '@valvesaddle/selection';

const selection: SelectorOptions = {
	interferenceWeight: 1, riskWeight: 1, reuseMs: 10_000, rereadMsPerToken: 0.3, prefillTokensPerMs: 50,
};
const linkMs = 2;
const updateMs = 100;
const [minimumDelayMs, maximumDelayMs] = [50, 500];
const maximumTries = 5;
const maximumRuns = 2;
const retryBudget = {ratio: 0.2, slack: 50, windowMs: 10_000};

/**
A pool of plain endpoints before nodes that tell each other their loads late.
*/
export type PoolLoad = {
	readonly seed: number;
	readonly lengthMs: number;
	readonly nodes: number;
	/**
	Nodes that neither hear nor are heard.
	*/
	readonly cutNodes: number;
	readonly endpoints: number;
	readonly slots: number;
	readonly queue: number;
	/**
	Requests a second to all nodes, in clumps of this many at one time.
	*/
	readonly perSecond: number;
	readonly clump: number;
	/**
	Share of requests that may not be sent again once they may have run.
	*/
	readonly unsafeShare: number;
	readonly objectiveMs: number;
	readonly timeoutMs: number;
	readonly getServiceMs: (endpoint: number, at: number) => number;
	/**
	Probability that an endpoint fails a request.
	*/
	readonly getFailingShare: (endpoint: number, at: number) => number;
};

type PoolReport = {
	readonly requests: number;
	readonly inTime: number;
	readonly late: number;
	readonly failed: number;
	readonly unsafe: number;
	readonly unsafeInTime: number;
	readonly arrivals: number;
	readonly shed: number;
	readonly retries: number;
	/**
	Ejections on shared evidence, summed over nodes.
	*/
	readonly ejections: number;
};

/**
Plays a load with the decisions that stand, or with changed ones.
*/
export function playPool(load: PoolLoad, changed: Partial<SelectorOptions>): PoolReport {
	const clock = new Clock();
	const leave = clock.enter();
	const {random} = Math;
	Math.random = createRandom(load.seed);
	try {
		return play(load, changed, clock);
	} finally {
		Math.random = random;
		leave();
	}
}

function play(load: PoolLoad, changed: Partial<SelectorOptions>, clock: Clock): PoolReport {
	const timetable = new Map<number, Array<() => void>>();
	let at = 0;
	const draw = createRandom(load.seed + 1);
	// Of its own, so that all decisions meet the same requests.
	const drawRequest = createRandom(load.seed + 2);
	const names = Array.from({length: load.nodes}, (_value, index) => `n-${index}`);
	const counts = {
		requests: 0, inTime: 0, late: 0, failed: 0, unsafe: 0, unsafeInTime: 0, arrivals: 0, shed: 0, retries: 0, ejections: 0,
	};

	function add(delayMs: number, handler: () => void): void {
		const due = at + Math.max(1, Math.round(delayMs));
		timetable.set(due, [...timetable.get(due) ?? [], handler]);
	}

	const ids = Array.from({length: load.endpoints}, (_value, index) => `e-${index}`);
	const queues = ids.map(() => ({running: 0, waiting: [] as Array<() => void>}));

	function work(endpoint: number, onEnd: (isFailed: boolean) => void): void {
		const queue = queues[endpoint]!;
		queue.running++;
		const isFailed = draw() < load.getFailingShare(endpoint, at);
		add(isFailed ? 2 : load.getServiceMs(endpoint, at), () => {
			queue.running--;
			queue.waiting.shift()?.();
			onEnd(isFailed);
		});
	}

	function sendTo(endpoint: number, onEnd: (end: 'done' | 'erred' | 'rejected') => void): void {
		const queue = queues[endpoint]!;
		const handleEnd = (isFailed: boolean) => {
			add(linkMs, () => {
				onEnd(isFailed ? 'erred' : 'done');
			});
		};

		counts.arrivals++;
		if (queue.running < load.slots) {
			work(endpoint, handleEnd);
		} else if (queue.waiting.length < load.queue) {
			queue.waiting.push(() => {
				work(endpoint, handleEnd);
			});
		} else {
			counts.shed++;
			add(linkMs, () => {
				onEnd('rejected');
			});
		}
	}

	const nodes = names.map(self => {
		const selector = createSelector({
			...selection, ...changed, fleet: {self, list: () => names}, onEjection({reason}) {
				counts.ejections += reason === 'failing' ? 1 : 0;
			},
		});
		selector.setPools([{name: 'plain', engine: undefined}]);
		for (const id of ids) {
			selector.addEndpoint({
				id, pool: 'plain', address: id, dataCentre: 'a', slots: load.slots, state: 'ready',
			});
		}

		return {selector, budget: createRetryBudget({...retryBudget, countNodes: () => load.nodes})};
	});
	// The slack is free one window after the start.
	clock.advance(retryBudget.windowMs);

	function request({selector, budget}: typeof nodes[number], isUnsafe: boolean): void {
		const startedAt = at;
		const tried = new Set<string>();
		const criteria: SelectionCriteria = {
			pool: 'plain', objectiveMs: load.objectiveMs, pauseObjectiveMs: 0, urgency: 0, promptTokens: 0, parts: [], tried, isRepeatable: !isUnsafe,
		};
		counts.requests++;
		counts.unsafe += isUnsafe ? 1 : 0;
		budget.earn('plain');
		let runs = 0;

		function end(isAnswered: boolean): void {
			const isInTime = isAnswered && at - startedAt <= load.objectiveMs;
			counts.failed += isAnswered && at - startedAt <= load.timeoutMs ? 0 : 1;
			counts.late += isAnswered && !isInTime ? 1 : 0;
			counts.inTime += isInTime ? 1 : 0;
			counts.unsafeInTime += isInTime && isUnsafe ? 1 : 0;
		}

		function canRepeat(): boolean {
			runs++;
			return !isUnsafe && runs < maximumRuns && budget.spend('plain');
		}

		function attempt(): void {
			const chosen = tried.size < maximumTries ? selector.choose(criteria) : undefined;
			if (chosen === undefined) {
				end(false);
				return;
			}

			tried.add(chosen.endpoint.incarnation);
			send(selector, chosen, criteria, sent => {
				if (sent === 'done') {
					end(true);
				} else if (sent === 'rejected') {
					attempt();
				} else if (canRepeat()) {
					counts.retries++;
					attempt();
				} else {
					end(false);
				}
			});
		}

		attempt();
	}

	function send(selector: Selector, chosen: Selection, criteria: SelectionCriteria, onEnd: (end: 'done' | 'erred' | 'rejected') => void): void {
		const open = selector.open(chosen, criteria);
		add(linkMs, () => {
			sendTo(ids.indexOf(chosen.endpoint.id), end => {
				open.close(end);
				onEnd(end);
			});
		});
	}

	function startUpdates(index: number): void {
		const delayMs = minimumDelayMs + (draw() * (maximumDelayMs - minimumDelayMs));
		const others = nodes.slice(0, nodes.length - load.cutNodes).filter(other => other !== nodes[index]);
		const update = (): void => {
			const news = nodes[index]!.selector.takeLoadUpdate();
			if (news !== undefined) {
				add(delayMs, () => {
					for (const {selector} of others) {
						selector.applyLoadUpdate(names[index]!, news);
					}
				});
			}

			add(updateMs, update);
		};

		add(draw() * updateMs, update);
	}

	function startCallers(): void {
		const node = nodes[Math.floor(drawRequest() * nodes.length)]!;
		for (let sent = 0; sent < load.clump; sent++) {
			request(drawRequest() < 0.5 ? node : nodes[Math.floor(drawRequest() * nodes.length)]!, drawRequest() < load.unsafeShare);
		}

		add(-Math.log(1 - drawRequest()) * 1000 * load.clump / load.perSecond, startCallers);
	}

	for (let index = 0; index < nodes.length - load.cutNodes; index++) {
		startUpdates(index);
	}

	startCallers();
	for (; at < load.lengthMs; at++) {
		for (const handler of timetable.get(at) ?? []) {
			handler();
		}

		timetable.delete(at);
		clock.advance(1);
	}

	return counts;
}

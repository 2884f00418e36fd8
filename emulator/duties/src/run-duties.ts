import {createDutyLease, type DutyLease} from '@valvesaddle/duty-lease';
import {createScaler, type Scaler} from '@valvesaddle/duty-scaling';
import type {DutyProof} from '@valvesaddle/duty-types';
import {createUsageCounters, createUsageReporter, type UsageReporter} from '@valvesaddle/duty-usage';
import {createPausedRuntime} from '@valvesaddle/emulator-beliefs';
import type {PoolScaling} from '@valvesaddle/gateway-types';
import {createLogger} from '@valvesaddle/logger';
import {createMetrics} from '@valvesaddle/metrics';
import {createRandom} from '@valvesaddle/random';
import {checkDuties} from './check-duties.ts';
import {createEmulatedDutyPlatform} from './create-emulated-duty-platform.ts';
import {createEmulatedDutyStore} from './create-emulated-duty-store.ts';
import {createFaultSchedule} from './create-fault-schedule.ts';
import type {DutyFault} from './duty-fault.ts';
import type {DutyReport} from './duty-report.ts';

type DutyOptions = {
	readonly seed: number;
	readonly faults: readonly DutyFault[];
};

type Node = {
	readonly lease: DutyLease;
	readonly reporter: UsageReporter;
	readonly scaler: Scaler;
	isStopped: boolean;
};

const nodeCount = 4;
/**
Duration of the phase with faults and of the phase without faults after it, in milliseconds.
*/
const faultPhaseMs = 40_000;
const recoveryPhaseMs = 30_000;
const windowMs = 5000;
const leaseMs = 2000;
const reacquireDelayMs = 4000;
const renewMs = 500;
const stepMs = 500;
const settleMs = 1500;
const scaling: PoolScaling = {
	least: 1, most: 20, bootMs: 4000, spotPrice: 0.2, prices: {a: 1, b: 0.8, c: 1.2},
};
const initialReplicas = Object.keys(scaling.prices).map(dataCentre => ({dataCentre, isSpot: false, count: 10}));

/**
 Runs four candidates for the duties under faults, and checks the calls that reached the platform.

 @example
 const {breaches} = await runDuties({seed: 7, faults: [{kind: 'kill', node: 0, at: 3000, until: 5000}]});
 */
export async function runDuties({seed, faults: planned}: DutyOptions): Promise<DutyReport> {
	const runtime = createPausedRuntime(seed);
	const random = createRandom(seed);
	const faults = createFaultSchedule(planned, runtime.now);
	const nodes: Node[] = [];
	const store = createEmulatedDutyStore({
		runtime, faults, random, onRemoved(key) {
			for (const node of key === 'holder' ? nodes : []) {
				node.lease.markFree();
			}
		},
	});
	const platform = createEmulatedDutyPlatform({
		runtime, faults, random, noSpotDataCentre: 'b', initialReplicas,
	});
	const logger = createLogger({node: 'n', level: 'silent'});
	const metrics = createMetrics();
	const holders = new Set<number>();
	let startedProcesses = 0;

	function startNode(nodeIndex: number): Node {
		startedProcesses++;
		const client = store.connect(nodeIndex);
		const lease = createDutyLease({
			store: client, key: 'holder', holder: `n${nodeIndex}.${startedProcesses}`, leaseMs, reacquireDelayMs, logger, metrics,
		});
		const getProof = (): DutyProof | undefined => {
			const token = lease.token();
			return token === undefined ? undefined : {holder: `n${nodeIndex}`, token};
		};

		// Each node has different counts, as if rows of other nodes were missing.
		const counters = createUsageCounters(`n${nodeIndex}`);
		const reporter = createUsageReporter({
			counters: {sum: window => ({...counters.sum(window), sawmill: 100 + nodeIndex})}, store: client, platform: platform.connect(nodeIndex), getProof, confirm: lease.confirm, windowMs, settleMs, logger, metrics,
		});
		const scaler = createScaler({
			platform: platform.connect(nodeIndex),
			getProof,
			confirm: lease.confirm,
			raiseToken: lease.raiseToken,
			listPools: () => [{name: 'drafting', engine: undefined, scaling}],
			countReady: platform.listReplicas,
			measurePoolLoad: () => ({
				open: runtime.now() < faultPhaseMs ? 100 * random() : 0, placedTokens: 0, tokensPerMs: 50, slots: 12,
			}),
			minimumShare: 0.5,
			logger,
			metrics,
		});
		return {
			lease, reporter, scaler, isStopped: false,
		};
	}

	function runRepeatedly(node: Node, nodeIndex: number, intervalMs: number, step: () => Promise<void>): void {
		async function runStep(): Promise<void> {
			if (node.isStopped) {
				return;
			}

			if (!faults.isActive('freeze', nodeIndex)) {
				await step();
			}

			runtime.add(runtime.now() + intervalMs, () => {
				void runStep();
			});
		}

		void runStep();
	}

	function runNode(nodeIndex: number): void {
		const node = startNode(nodeIndex);
		nodes[nodeIndex] = node;
		runRepeatedly(node, nodeIndex, renewMs, async () => {
			const previousToken = node.lease.token();
			await node.lease.update(true);
			const token = node.lease.token();
			if (previousToken !== undefined || token === undefined) {
				return;
			}

			holders.add(token);
			node.reporter.start(runtime.now());
			node.scaler.start();
		});
		runRepeatedly(node, nodeIndex, stepMs, async () => node.lease.token() === undefined ? undefined : node.scaler.update());
		runRepeatedly(node, nodeIndex, stepMs, async () => node.lease.token() === undefined ? undefined : node.reporter.update(runtime.now()));
	}

	for (let nodeIndex = 0; nodeIndex < nodeCount; nodeIndex++) {
		runtime.add(10 + (200 * random()), () => {
			runNode(nodeIndex);
		});
	}

	const kills = planned.filter(({kind}) => kind === 'kill');
	for (const fault of kills) {
		runtime.add(fault.at, () => {
			const killed = nodes[fault.node];
			if (killed !== undefined) {
				killed.isStopped = true;
			}
		});
		runtime.add(fault.until, () => {
			runNode(fault.node);
		});
	}

	await runtime.advance(faultPhaseMs + recoveryPhaseMs);
	for (const node of nodes) {
		node.isStopped = true;
	}

	runtime.close();
	return {
		violations: checkDuties({
			calls: platform.calls, reports: platform.reports, replicas: platform.listReplicas(), faults, scaling, endMs: faultPhaseMs + recoveryPhaseMs, windowMs,
		}),
		calls: platform.calls.length,
		holders: holders.size,
		longestGapMs: measureLongestGap(platform.calls.filter(({subject, isAccepted}) => subject === 'usage' && isAccepted).map(({at}) => at)),
	};
}

function measureLongestGap(times: readonly number[]): number {
	return Math.max(0, ...times.map((at, index) => at - (times[index - 1] ?? 0)));
}

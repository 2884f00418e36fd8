import type {AppliedFault} from './applied-fault.ts';
import type {FaultKind} from './fault-kind.ts';

type PlanOptions = {
	readonly random: () => number;
	/**
	Length of the time in which faults come, in milliseconds.
	*/
	readonly lengthMs: number;
	readonly nodes: number;
	readonly endpoints: number;
};

const kinds: readonly FaultKind[] = [
	'stop',
	'kill',
	'killAll',
	'pause',
	'storeRefuse',
	'storeSilent',
	'storeCompact',
	'storeLose',
	'cutSilent',
	'cutReset',
	'cutSlow',
	'break',
	'spoil',
	'refuse',
	'leave',
	'configure',
	'configure',
	'stop',
	'break',
];
/**
Faults that strike endpoints; the others strike nodes, or all of them.
*/
const endpointKinds: ReadonlySet<FaultKind> = new Set(['break', 'spoil', 'refuse', 'leave', 'overload', 'announce', 'stall', 'late']);
/**
Faults that are planned by themselves, so that the others of a seed stay as they are.
*/
const noticeKinds: readonly FaultKind[] = ['overload', 'overload', 'announce'];
const delayKinds: readonly FaultKind[] = ['stall', 'stall', 'late', 'late', 'thin', 'reload'];
/**
Mean time between two faults, and between two of those that are planned by themselves, and how long one lasts, in milliseconds.
*/
const meanGapMs = 700;
const meanNoticeGapMs = 1500;
const meanDelayGapMs = 800;
const shortestMs = 400;
const longestMs = 3000;

/**
Part of the runs in which a request crashes endpoints, and the part of a run in which it comes first.
*/
const crashShare = 0.5;
const latestCrashShare = 0.4;

/**
 Plans the faults of a run: any kind, at any time, several at once.

 @example
 planFaults({random: createRandom(7), lengthMs: 10_000, nodes: 3, endpoints: 4}).length;
 */
export function planFaults(options: PlanOptions): readonly AppliedFault[] {
	return [
		...planKinds(kinds, meanGapMs, options),
		...planKinds(noticeKinds, meanNoticeGapMs, options),
		...planKinds(delayKinds, meanDelayGapMs, options),
		...planCrashes(options),
	];
}

/**
A request that crashes endpoints comes until the end, so that repeats long after the third crash are seen.
*/
function planCrashes({random, lengthMs}: PlanOptions): readonly AppliedFault[] {
	const isPlanned = random() < crashShare;
	const at = Math.round(random() * lengthMs * latestCrashShare);
	const crash: AppliedFault = {
		kind: 'crash', at, until: lengthMs, target: 0,
	};
	return isPlanned ? [crash] : [];
}

function planKinds(among: readonly FaultKind[], gapMs: number, {random, lengthMs, nodes, endpoints}: PlanOptions): readonly AppliedFault[] {
	const faults: AppliedFault[] = [];
	for (let at = random() * gapMs; at < lengthMs; at += -Math.log(1 - random()) * gapMs) {
		const kind = among[Math.floor(random() * among.length)] ?? 'kill';
		const until = Math.min(lengthMs, at + shortestMs + (random() * (longestMs - shortestMs)));
		const target = Math.floor(random() * (endpointKinds.has(kind) ? endpoints : nodes));
		faults.push({
			kind, at: Math.round(at), until: Math.round(until), target,
		});
	}

	return faults;
}

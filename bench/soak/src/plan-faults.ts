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
const endpointKinds: ReadonlySet<FaultKind> = new Set(['break', 'spoil', 'refuse', 'leave', 'overload', 'announce', 'stall', 'late', 'limit']);
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
Parts of the runs in which a request crashes endpoints and in which one limits requests, and the part of a run in which that begins.
*/
const crashShare = 0.5;
const limitShare = 0.5;
const latestStartShare = 0.4;

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
		...planLimits(options),
	];
}

/**
An endpoint limits requests for longer than other faults last, so that the nodes' sum over some seconds is seen.
*/
function planLimits({random, lengthMs, endpoints}: PlanOptions): readonly AppliedFault[] {
	const isPlanned = random() < limitShare;
	const at = Math.round(random() * lengthMs * latestStartShare);
	const limit: AppliedFault = {
		kind: 'limit', at, until: lengthMs, target: Math.floor(random() * endpoints),
	};
	return isPlanned ? [limit] : [];
}

/**
A request that crashes endpoints comes until the end, so that repeats long after the third crash are seen.
*/
function planCrashes({random, lengthMs}: PlanOptions): readonly AppliedFault[] {
	const isPlanned = random() < crashShare;
	const at = Math.round(random() * lengthMs * latestStartShare);
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

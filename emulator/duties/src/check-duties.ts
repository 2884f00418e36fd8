import type {ReplicaCount} from '@valvesaddle/duty-scaling';
import type {PoolScaling} from '@valvesaddle/gateway-types';
import type {DutyCall} from './duty-call.ts';
import type {FaultSchedule} from './fault-schedule.ts';

type DutyTrace = {
	readonly calls: readonly DutyCall[];
	readonly reports: ReadonlyMap<number, ReadonlySet<string>>;
	readonly replicas: readonly ReplicaCount[];
	readonly faults: FaultSchedule;
	readonly scaling: PoolScaling;
	readonly endMs: number;
	readonly windowMs: number;
};

/**
Time within which a duty must not move to another node and back, and after which a refused fencing token must not be used.
*/
const alternationMs = 3000;
/**
Time before a call in which no fault may have affected its node for the call to count as an alternation.
*/
const undisturbedMs = 4000;
/**
Time after the end of a window within which its report is due.
*/
const reportDueMs = 10_000;
/**
Number of last windows that must have been reported.
*/
const finalWindows = 3;
/**
Replicas without load: the minimum of 30, rounded up to 32, and a spot reserve of 15, half of the 29 spot replicas, for the loss of
one of three data centres.
*/
const finalReplicas = 47;

/**
 Checks the calls and replicas of a run against the rules of the duties; returns the violations.

 @example
 checkDuties(trace); // [] without violations
 */
export function checkDuties(trace: DutyTrace): readonly string[] {
	return [
		...checkTokens(trace),
		...checkAlternation(trace),
		...checkRefused(trace),
		...checkReports(trace),
		...checkReplicas(trace),
	];
}

function checkTokens({calls}: DutyTrace): readonly string[] {
	const owners = new Map<number, number>();
	return calls.flatMap(({token, node, at}) => {
		const owner = owners.get(token) ?? node;
		owners.set(token, owner);
		return owner === node ? [] : [`token ${token} of node ${owner} used by node ${node} at ${at}`];
	});
}

/**
Finds accepted calls of nodes A, B and A again within a short time, although no fault affected either node.
*/
function checkAlternation({calls, faults}: DutyTrace): readonly string[] {
	return listSubjects(calls).flatMap(subject => {
		const accepted = calls.filter(call => call.subject === subject && call.isAccepted);
		const changes = accepted.filter((call, index) => call.node !== accepted[index - 1]?.node);
		return changes.flatMap((call, index) => {
			const previous = changes[index - 2];
			const between = changes[index - 1];
			const hasReturned = previous?.node === call.node && between !== undefined && call.at - previous.at <= alternationMs;
			const isDisturbed = [previous, between, call].some(one => one !== undefined && faults.wasAffected(one.node, undisturbedMs, one.at));
			return hasReturned && !isDisturbed ? [`${subject}: node ${call.node} acts again at ${call.at}, ${call.at - previous.at} ms after its previous term began`] : [];
		});
	});
}

function checkRefused({calls}: DutyTrace): readonly string[] {
	const refusals = calls.filter(({isStale}) => isStale);
	return refusals.flatMap(refusal => calls.filter(call => call.node === refusal.node && call.subject === refusal.subject && call.token === refusal.token && call.at > refusal.at + alternationMs).map(({at, token}) => `token ${token}, refused at ${refusal.at}, used again at ${at}`));
}

function checkReports({reports, endMs, windowMs}: DutyTrace): readonly string[] {
	const conflicting = [...reports].filter(([, contents]) => contents.size > 1).map(([window]) => `window ${window} accepted with different counts`);
	const last = Math.floor((endMs - reportDueMs) / windowMs) - 1;
	const missing = Array.from({length: finalWindows}, (_value, index) => last - index).filter(window => !reports.has(window));
	return [...conflicting, ...missing.map(window => `window ${window} was not reported`)];
}

function checkReplicas({replicas, scaling}: DutyTrace): readonly string[] {
	const total = replicas.reduce((sum, {count}) => sum + count, 0);
	const overLimit = Object.keys(scaling.prices).filter(place => replicas.filter(({dataCentre}) => dataCentre === place).reduce((sum, {count}) => sum + count, 0) > scaling.most);
	return [
		...overLimit.map(place => `more than ${scaling.most} replicas in ${place}`),
		...(total === finalReplicas ? [] : [`${total} replicas at the end instead of ${finalReplicas}`]),
	];
}

function listSubjects(calls: readonly DutyCall[]): readonly string[] {
	return [...new Set(calls.map(({subject}) => subject))];
}

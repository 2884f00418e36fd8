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
Time within which a duty may not change hands to and fro, and for which a node must be out of trouble for that, in milliseconds.
*/
const turnMs = 3000;
const touchMs = 4000;
/**
Time after the end of a window within which its report is due, and windows at the end of the calm that must all be there.
*/
const dueMs = 10_000;
const calmWindows = 3;
/**
Replicas when nothing is open: half of the most in steps of eight, 32, and half of the 29 spot ones among them again, for the loss of
one of three data centres.
*/
const calmReplicas = 47;

/**
 Checks what the platform saw against what must hold.

 @example
 checkDuties(facts); // [] when all was kept
 */
export function checkDuties(facts: DutyTrace): readonly string[] {
	return [
		...checkTokens(facts),
		...checkTurns(facts),
		...checkRefused(facts),
		...checkReports(facts),
		...checkReplicas(facts),
	];
}

function checkTokens({calls}: DutyTrace): readonly string[] {
	const owners = new Map<number, number>();
	return calls.flatMap(({token, node: machine, at}) => {
		const owner = owners.get(token) ?? machine;
		owners.set(token, owner);
		return owner === machine ? [] : [`token ${token} of node ${owner} used by node ${machine} at ${at}`];
	});
}

/**
What was accepted of A, B and A again, while both were out of trouble.
*/
function checkTurns({calls, faults}: DutyTrace): readonly string[] {
	return listSubjects(calls).flatMap(subject => {
		const accepted = calls.filter(call => call.subject === subject && call.isAccepted);
		const turns = accepted.filter((call, index) => call.node !== accepted[index - 1]?.node);
		return turns.flatMap((call, index) => {
			const before = turns[index - 2];
			const between = turns[index - 1];
			const isBack = before?.node === call.node && between !== undefined && call.at - before.at <= turnMs;
			const isTouched = [before, between, call].some(one => one !== undefined && faults.wasAffected(one.node, touchMs, one.at));
			return isBack && !isTouched ? [`${subject}: node ${call.node} again at ${call.at}, ${call.at - before.at} ms after its turn`] : [];
		});
	});
}

function checkRefused({calls}: DutyTrace): readonly string[] {
	const refusals = calls.filter(({isStale: isOutdated}) => isOutdated);
	return refusals.flatMap(refusal => calls.filter(call => call.node === refusal.node && call.subject === refusal.subject && call.token === refusal.token && call.at > refusal.at + turnMs).map(({at, token}) => `token ${token}, refused at ${refusal.at}, used again at ${at}`));
}

function checkReports({reports, endMs, windowMs}: DutyTrace): readonly string[] {
	const twice = [...reports].filter(([, contents]) => contents.size > 1).map(([window]) => `window ${window} accepted with different counts`);
	const last = Math.floor((endMs - dueMs) / windowMs) - 1;
	const missing = Array.from({length: calmWindows}, (_value, index) => last - index).filter(window => !reports.has(window));
	return [...twice, ...missing.map(window => `window ${window} was not reported`)];
}

function checkReplicas({replicas, scaling}: DutyTrace): readonly string[] {
	const total = replicas.reduce((sum, {count}) => sum + count, 0);
	const over = Object.keys(scaling.prices).filter(place => replicas.filter(({dataCentre}) => dataCentre === place).reduce((sum, {count}) => sum + count, 0) > scaling.most);
	return [
		...over.map(place => `more than ${scaling.most} replicas in ${place}`),
		...(total === calmReplicas ? [] : [`${total} replicas in the end in place of ${calmReplicas}`]),
	];
}

function listSubjects(calls: readonly DutyCall[]): readonly string[] {
	return [...new Set(calls.map(({subject}) => subject))];
}

import type {Arrival} from './arrival.ts';
import type {Breach} from './breach.ts';
import {crashingPath} from './crashing-path.ts';
import {countExcessRetries} from './count-excess-retries.ts';
import type {AppliedFault} from './applied-fault.ts';
import type {FaultKind} from './fault-kind.ts';
import type {Attempt} from './attempt.ts';
import type {Observation} from './observation.ts';
import type {Run} from './run.ts';

/**
Statuses that promise that a request did not run.
*/
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/**
Bound for a change to be in force and for a leaving endpoint to get no new work, in milliseconds, while nothing disturbs the
nodes or the store; the platform's bound is 2,000.
*/
const boundMs = 4000;
/**
A node or the store counts as disturbed for so long after the fault, in milliseconds.
*/
const settleMs = 3000;
/**
The platform's bounds: requests that an endpoint may get within a pause that it asked for, what may be under way when it asks, and
the time after which one that says that it leaves gets none, in milliseconds.
*/
const mostInCooldown = 2;
const cooldownSlackMs = 500;
const announcedSlackMs = 2000;
/**
The platform's bounds: endpoints that may crash under a request, the time after which all nodes know, in milliseconds, and further
endpoints that the request may reach then.
*/
const allowedCrashes = 3;
const contactMs = 3000;
const mostLateCrashes = 3;
/**
Kinds of fault that keep beliefs from spreading.
*/
const disturbingKinds: ReadonlySet<FaultKind> = new Set(['stop', 'kill', 'killAll', 'pause', 'storeRefuse', 'storeSilent', 'storeCompact', 'storeLose', 'cutSilent', 'cutReset', 'cutSlow']);
/**
The platform's bounds on requests at an endpoint that limits them, within a window, in milliseconds, from nodes that were told so
long before.
*/
const limitWindowMs = 4000;
const limitFactor = 1.5;
const limitSlack = 5;
const toldMs = 500;
/**
Kinds of fault of single nodes.
*/
const nodeKinds: ReadonlySet<FaultKind> = new Set(['stop', 'kill', 'pause', 'cutSilent', 'cutReset', 'cutSlow']);
/**
Kinds of fault that cut requests off, whatever a node does.
*/
const abruptKinds: ReadonlySet<FaultKind> = new Set(['kill', 'killAll', 'pause']);
/**
Events of a stream of the stand-in.
*/
const events = 8;
/**
How long a request may take by its route, and a stopped node's grace time up to the share in which the platform excuses what is
still open, in milliseconds.
*/
const deadlineMs = 5000;
const graceMs = 8000 * 5 / 6;
/**
Slack between a signal and its effect, in milliseconds.
*/
const faultSlackMs = 50;
/**
Part of the requests in the calm at the end that have to be served, of each kind.
*/
const leastServed = 0.75;

/**
The platform's bounds: time after which no request may arrive whose caller has left, in milliseconds, and how many do not count.
*/
const departureMs = 500;
const mostAfterDeparture = 3;

/**
Tells what was seen against a promise.
*/
type Check = (observation: Observation, runs: ReadonlyMap<string, readonly Run[]>) => readonly string[];

function isCalm(faults: readonly AppliedFault[], from: number, until: number): boolean {
	return faults.every(fault => !disturbingKinds.has(fault.kind) || fault.until + settleMs < from || fault.at > until);
}

/**
Whether the node was neither stopped, paused nor cut in the seconds before it sent an attempt.
*/
function hasRunThrough({node, sentAt}: Pick<Attempt, 'node' | 'sentAt'>, faults: readonly AppliedFault[]): boolean {
	return faults.every(({kind, target, at, until}) => {
		const isOfNode = kind === 'killAll' || (nodeKinds.has(kind) && node === `n${target}`);
		return !isOfNode || until + settleMs < sentAt || at > sentAt;
	});
}

function formatAttempt({id, path, node, pid, sentAt, status}: Attempt, detail: string): string {
	return `${id} ${path} at ${node} (${pid}), sent at ${sentAt} ms, status ${status}: ${detail}`;
}

function parseEvents(body: string): readonly number[] {
	return body.matchAll(/^id: (?<id>\d+)$/gmv).map(match => Number(match.groups?.id)).toArray();
}

function listSenders(attempts: readonly Attempt[]): ReadonlyMap<string, Attempt> {
	return new Map(attempts.map(attempt => [attempt.id, attempt]));
}

function isStream({kind}: Attempt): boolean {
	return kind === 'stream' || kind === 'resumable';
}

function isDuring({sentAt, endedAt}: Attempt, faults: readonly AppliedFault[]): boolean {
	return faults.some(({at, until}) => at - faultSlackMs < endedAt && sentAt < until + faultSlackMs);
}

/**
Whether the endpoint broke the answer off, the deadline passed, or the node was killed, also by the platform after the grace time.
*/
function isExcused(attempt: Attempt, faults: readonly AppliedFault[], runs: ReadonlyMap<string, readonly Run[]>): boolean {
	const ofNode = faults.filter(({target}) => attempt.node === `n${target}`);
	const kills = [...ofNode.filter(({kind}) => kind === 'kill'), ...faults.filter(({kind}) => kind === 'killAll')];
	const graceEnds = ofNode.filter(({kind}) => kind === 'stop').map(({at}) => at + graceMs);
	return attempt.endedAt - attempt.sentAt >= deadlineMs
		|| (runs.get(attempt.id)?.some(run => run.isSpoiled) ?? false)
		|| isDuring(attempt, kills.map(kill => ({...kill, until: kill.at})))
		|| graceEnds.some(at => attempt.sentAt < at && attempt.endedAt >= at);
}

const checks: Readonly<Record<string, Check>> = {
	'each caller gets its own whole answer'({attempts}) {
		return attempts
			.filter(attempt => attempt.status === 200 && attempt.isWhole && !attempt.body.includes(`for ${attempt.id}\n`))
			.map(attempt => formatAttempt(attempt, JSON.stringify(attempt.body.slice(0, 80))));
	},
	'a stream has no gap and no event twice'({attempts}) {
		return attempts.filter(attempt => isStream(attempt) && attempt.status === 200).flatMap(attempt => {
			const ids = parseEvents(attempt.body);
			const hasGap = ids.some((id, index) => id !== index);
			const isShort = attempt.isWhole && ids.length !== events;
			return hasGap || isShort ? [formatAttempt(attempt, ids.join(' '))] : [];
		});
	},
	'non-repeatable work runs at most once'({attempts}, runs) {
		return attempts
			.filter(({kind, id}) => (kind === 'unsafe' || kind === 'stream') && (runs.get(id)?.length ?? 0) > 1)
			.map(attempt => formatAttempt(attempt, `ran ${runs.get(attempt.id)?.length} times`));
	},
	'"not run" means not run'({attempts}, runs) {
		return attempts
			.filter(({kind, status, id}) => (kind === 'unsafe' || kind === 'stream') && notRunStatuses.has(status) && runs.has(id))
			.map(attempt => formatAttempt(attempt, 'it ran'));
	},
	'a leaving endpoint gets no new work'({runs, drains, faults}) {
		return drains.filter(({at}) => isCalm(faults, at - boundMs, at + boundMs)).flatMap(({endpoint, at}) => runs
			.filter(run => run.endpoint === endpoint && run.at > at + boundMs)
			.map(run => (`${run.id} came to ${endpoint} ${run.at - at} ms after it said that it leaves`)));
	},
	'an endpoint that asked for a pause gets at most two requests in it'({attempts, arrivals, notices, faults}) {
		const senders = listSenders(attempts);
		return notices.filter(({retryAfterMs}) => retryAfterMs > 0).flatMap(({id, endpoint, at, retryAfterMs}) => {
			const sender = senders.get(id);
			const isPaused = faults.some(fault => fault.kind === 'pause' && sender?.node === `n${fault.target}` && fault.at < at + retryAfterMs && fault.until > at);
			const late = arrivals.filter(arrival => arrival.endpoint === endpoint && arrival.at > at + cooldownSlackMs && arrival.at < at + retryAfterMs && senders.get(arrival.id)?.pid === sender?.pid);
			return sender !== undefined && !isPaused && late.length > mostInCooldown ? [`${endpoint} asked ${sender.node} (${sender.pid}) for ${retryAfterMs} ms at ${at} ms and got ${late.length} requests`] : [];
		});
	},
	'an endpoint that says that it leaves gets no further requests'({attempts, arrivals, notices}) {
		const senders = listSenders(attempts);
		return notices.filter(({isLeaving}) => isLeaving).flatMap(({id, endpoint, at}) => {
			const told = senders.get(id);
			const late = arrivals.filter(arrival => {
				const sender = senders.get(arrival.id);
				return arrival.endpoint === endpoint && sender !== undefined && sender.pid === told?.pid && sender.sentAt > at + announcedSlackMs;
			});
			return told?.isWhole === true ? late.map(arrival => `${arrival.id} came to ${endpoint} from ${told.node} (${told.pid}) ${arrival.at - at} ms after it said that it leaves`) : [];
		});
	},
	'a request that crashed three endpoints reaches no more than three others'({attempts, arrivals, crashes, faults}) {
		const senders = listSenders(attempts);
		const third = crashes[allowedCrashes - 1];
		const isForgotten = faults.some(({kind, at}) => kind === 'killAll' && at > (crashes[0]?.at ?? Infinity));
		if (third === undefined || isForgotten) {
			return [];
		}

		const late = arrivals.filter(({id}) => {
			const sender = senders.get(id);
			const isRepeat = sender?.path === third.path && sender.sentAt > third.at + contactMs;
			return isRepeat && isCalm(faults, sender.sentAt, sender.sentAt);
		});
		return late.length > mostLateCrashes ? [`${third.path} reached ${late.length} endpoints later than ${contactMs} ms after the third crash; ${crashes.length} crashed in all`] : [];
	},
	'an endpoint that names a limit gets no more requests than it allows'({attempts, arrivals, limits, faults}) {
		const senders = listSenders(attempts);
		return Map.groupBy(limits, ({endpoint}) => endpoint).entries().flatMap(([endpoint, named]) => {
			const [first, last] = [named[0]!, named.at(-1)!];
			const isCounted = ({id, at}: Arrival): boolean => {
				const sender = senders.get(id);
				const isTold = named.some(notice => notice.at < at - toldMs && senders.get(notice.id)?.pid === sender?.pid && senders.get(notice.id)?.isWhole === true);
				return at >= first.at + contactMs && at <= last.at && sender !== undefined && isTold && hasRunThrough(sender, faults);
			};

			const counted = arrivals.filter(arrival => arrival.endpoint === endpoint && isCounted(arrival)).map(({at}) => at);
			const most = Math.max(0, ...counted.map(from => counted.filter(at => at >= from && at < from + limitWindowMs).length));
			const allowed = (limitFactor * first.perSecond * limitWindowMs / 1000) + limitSlack;
			return most > allowed ? [`${endpoint} named ${first.perSecond} a second at ${first.at} ms and got ${most} requests in ${limitWindowMs} ms`] : [];
		}).toArray();
	},
	'an accepted configuration is in force in seconds'({attempts, versions, faults}) {
		return attempts.filter(({path}) => path.startsWith('/v')).flatMap(attempt => {
			const asked = Number(attempt.path.split('/', 2)[1]?.slice(1));
			const accepted = versions.find(({version}) => version === asked)?.at ?? Infinity;
			const replaced = versions.find(({version}) => version === asked + 1)?.at ?? Infinity;
			const isDue = attempt.sentAt > accepted + boundMs && attempt.endedAt < replaced;
			const isOver = attempt.sentAt > replaced + boundMs;
			const isWrong = (isDue && attempt.status === 404) || (isOver && attempt.status === 200);
			return isWrong && isCalm(faults, attempt.sentAt - boundMs, attempt.sentAt) ? [formatAttempt(attempt, `accepted at ${accepted} ms, replaced at ${replaced} ms`)] : [];
		});
	},
	'a configuration never goes back to an older one'({attempts}) {
		const seen = new Map<number, {readonly version: number; readonly at: number}>();
		return attempts.filter(({path, status}) => path.startsWith('/v') && status === 200).toSorted((a, b) => a.sentAt - b.sentAt).flatMap(attempt => {
			const version = Number(attempt.path.split('/', 2)[1]?.slice(1));
			const before = seen.get(attempt.pid);
			if (before !== undefined && version < before.version && attempt.sentAt > before.at) {
				return [formatAttempt(attempt, `version ${before.version} was seen at ${before.at} ms`)];
			}

			if (before === undefined || version > before.version) {
				seen.set(attempt.pid, {version, at: attempt.endedAt});
			}

			return [];
		});
	},
	'a graceful shutdown cuts off nothing'({attempts, faults}, runs) {
		const stops = faults.filter(({kind}) => kind === 'stop');
		const abrupt = faults.filter(({kind}) => abruptKinds.has(kind));
		return attempts.filter(attempt => runs.has(attempt.id) && (attempt.status === 0 || !attempt.isWhole)).flatMap(attempt => {
			const isAbrupt = abrupt.some(fault => fault.at - 50 < attempt.endedAt && attempt.sentAt < fault.until + 50);
			const isSpoiled = runs.get(attempt.id)?.some(run => run.isSpoiled) ?? false;
			const isStopped = stops.some(fault => attempt.node === `n${fault.target}` && fault.at < attempt.endedAt);
			return isStopped && !isAbrupt && !isSpoiled ? [formatAttempt(attempt, 'the connection ended without a whole answer')] : [];
		});
	},
	'a request that was read whole gets a complete answer or a refusal'({attempts, faults, read}, runs) {
		return attempts
			.filter(attempt => !attempt.isWhole && (read.has(attempt.id) || runs.has(attempt.id)) && !isExcused(attempt, faults, runs))
			.map(attempt => formatAttempt(attempt, `ended after ${attempt.endedAt - attempt.sentAt} ms and ${attempt.length} characters: ${attempt.error}`));
	},
	'a request is not failed while its endpoint works on it'({attempts, faults}, runs) {
		const spoils = faults.filter(({kind}) => kind === 'spoil');
		return attempts
			.filter(attempt => attempt.status === 502 && runs.has(attempt.id) && !isDuring(attempt, spoils) && !isExcused(attempt, faults, runs))
			.map(attempt => formatAttempt(attempt, `failed after ${attempt.endedAt - attempt.sentAt} ms`));
	},
	'retries stay within the budget of the fleet'({attempts, departures, arrivals, retry}) {
		const excess = countExcessRetries([...attempts, ...departures], arrivals, retry);
		return excess > 0 ? [`${excess} more than allowed in ${retry.windowS} s`] : [];
	},
	'a request whose caller has left reaches no endpoint half a second later'({departures, arrivals, faults}) {
		const left = new Map(departures.filter(departure => hasRunThrough(departure, faults)).map(departure => [departure.id, departure]));
		const late = arrivals.filter(({id, at}) => at > (left.get(id)?.at ?? Infinity) + departureMs);
		return late.length > mostAfterDeparture ? late.map(({id, endpoint, at}) => `${id} came to ${endpoint} ${at - (left.get(id)?.at ?? 0)} ms after its caller left ${left.get(id)?.node}`) : [];
	},
	'every kind of request is served once faults are over'({attempts, calmFrom}) {
		const late = attempts.filter(({sentAt, path}) => sentAt > calmFrom && !path.startsWith('/v') && path !== crashingPath);
		return Map.groupBy(late, ({kind}) => kind).entries().flatMap(([kind, group]) => {
			const served = group.filter(({status, isWhole}) => status === 200 && isWhole).length;
			return served < leastServed * group.length ? [`${kind}: ${served} of ${group.length}`] : [];
		}).toArray();
	},
};

/**
 Checks what callers and endpoints saw against the promises.

 @example
 checkPromises(observation); // [] when all were kept
 */
export function checkPromises(observation: Observation): readonly Breach[] {
	const runs = Map.groupBy(observation.runs, ({id}) => id);
	return Object.entries(checks).flatMap(([promise, check]) => check(observation, runs).map(detail => ({promise, detail})));
}

import {randomUUID} from 'node:crypto';
import Emittery from 'emittery';
import {createLengthModel} from '@valvesaddle/lengths';
import type {
	AcquireReply,
	AcquireRequest,
	ProgressReport,
	RegisterRequest,
	ReleaseReport,
} from '@valvesaddle/messages';
import {
	chooseEndpoint,
	rankClasses,
	predictWait,
	measureHeadroom,
	type EndpointRequirements,
	type EndpointView,
	type GrantMode,
	type MemoryClaim,
	type RankedClass,
} from '@valvesaddle/policy';
import {createWaitingQueue, type QueuedRequest} from '@valvesaddle/queue';
import type {Configuration, RequestClass} from '@valvesaddle/types';
import {createReturnPlan} from '@valvesaddle/waiting';
import {countFreeSlots} from './count-free-slots.ts';
import {createClassStats} from './create-class-stats.ts';
import {createEndpointTable} from './create-endpoint-table.ts';
import {createGrantTable} from './create-grant-table.ts';
import {createSessionTable} from './create-session-table.ts';
import {measureInterToken} from './measure-inter-token.ts';
import type {PoolDispatcher} from './pool-dispatcher.ts';
import type {PoolDispatcherOptions} from './pool-dispatcher-options.ts';
import type {PoolEvents} from './pool-events.ts';
import {toRefusal} from './to-refusal.ts';
import type {WaitingRequest} from './waiting-request.ts';

const defaultInterTokenMs = 52;
const epochLength = 8;
/**
Longest time that a refused caller is asked to stay away, in milliseconds.
*/
const longestReturnMs = 60_000;
/**
Time between two ticks above which the event loop was blocked, in milliseconds.
*/
const longestTickMs = 1000;
/**
Outcomes that count as failures of the endpoint.
*/
const endpointFailures: ReadonlySet<ReleaseReport['outcome']> = new Set(['failed', 'not-run']);

/**
 Creates the dispatcher of one pool. It owns the queue, the grants and the state of the endpoints, and uses no network.
 Decisions are made by the pure functions of the policy package.

 @example
 const dispatcher = createPoolDispatcher({pool: 'drafting', configuration, leaving: new Set(), warmupMs: 0, grantLeaseMs: 5000, metrics});
 const reply = await dispatcher.acquire(request);
 */
export function createPoolDispatcher(options: PoolDispatcherOptions): PoolDispatcher {
	const {metrics} = options;
	const events = new Emittery<PoolEvents>();
	const queue = createWaitingQueue<WaitingRequest>();
	const stats = createClassStats();
	const lengths = createLengthModel();
	const sessions = createSessionTable();
	const returns = createReturnPlan({mostMs: longestReturnMs});
	const openedAt = performance.now();
	/**
	Distinguishes this dispatcher's grants from those of others; short because every report contains it.
	*/
	const epoch = randomUUID().slice(0, epochLength);
	let classes: ReadonlyMap<string, RequestClass> = new Map();
	let interTokenTargetMs = defaultInterTokenMs;
	let lastTickAt = openedAt;
	let headroom = 0;
	let grantCount = 0;
	const table = createEndpointTable({
		interTokenTargetMs: () => interTokenTargetMs,
		onState(endpoint, from, to) {
			void events.emit('endpointState', {endpoint, from, to});
		},
	});
	const grants = createGrantTable(table, options.grantLeaseMs);

	function applyConfiguration(configuration: Configuration, leaving: ReadonlySet<string>): void {
		classes = new Map(configuration.classes.map(requestClass => [requestClass.name, requestClass]));
		interTokenTargetMs = configuration.pools.find(({name}) => name === options.pool)?.interTokenTargetMs ?? defaultInterTokenMs;
		queue.configure(configuration.classes, new Map(configuration.accounts.map(({name, weight}) => [name, weight])));
		table.configure(configuration.endpoints.filter(({pool}) => pool === options.pool), leaving);
		grantWaiting();
	}

	function toRequirements(mode: GrantMode, request: AcquireRequest): EndpointRequirements {
		return {
			mode,
			floor: classes.get(request.className)?.floor ?? 0,
			headroom,
			promptTokens: request.promptTokens + request.tokensSoFar,
			dataCentre: request.dataCentre,
			sessionEndpoint: sessions.find(request.session),
			// Endpoints on which the request failed are used again only if there are no others.
			avoid: request.avoid.length < table.sums().live ? request.avoid : [],
			mayProbe: request.repeatable && mode !== 'urgent',
			memory: toClaim(request),
		};
	}

	/**
	Memory that a request would hold if it were granted now.
	*/
	function toClaim({className, promptTokens, tokensSoFar}: AcquireRequest): MemoryClaim {
		return {
			tokens: promptTokens + tokensSoFar,
			growthTokens: lengths.expect(className, tokensSoFar) - tokensSoFar,
			endsInMs: Math.max(1, stats.holdMs(className)),
			grantedAt: performance.now(),
		};
	}

	function predict(request: AcquireRequest, requestClass: RequestClass): number {
		const requirements = toRequirements(requestClass.urgent ? 'urgent' : 'shared', request);
		const {slots, urgentInFlight} = table.sums();
		return predictWait({
			requestClass,
			accountWaiting: queue.accountWaiting(request.className, request.account),
			accountShares: queue.accountShares(request.className, request.account),
			slots,
			urgentSlots: urgentInFlight + (headroom * slots),
			freeSlots: countFreeSlots(table.candidates(requirements.mode), requirements),
		}, queue.views().map(view => ({...view, holdMs: stats.holdMs(view.requestClass.name)})));
	}

	/**
	Predicts the wait; if the pool has no slots, it is the time until the first cooldown ends.
	*/
	function predictWithCooldown(request: AcquireRequest, requestClass: RequestClass): number {
		const waitMs = predict(request, requestClass);
		return Number.isFinite(waitMs) ? waitMs : table.getCooldownMs() ?? waitMs;
	}

	/**
	Refuses a request whose predicted wait is too long; returns `undefined` if it is admitted.
	*/
	function admit(request: AcquireRequest): AcquireReply | undefined {
		const requestClass = classes.get(request.className);
		if (requestClass === undefined) {
			return toRefusal('ERR_VALVESADDLE_CLASS_NOT_ALLOWED', `class "${request.className}" is not configured`, 0);
		}

		const waitMs = request.admitted ? 0 : predictWithCooldown(request, requestClass);
		if (waitMs <= requestClass.maximumWaitMs) {
			return undefined;
		}

		metrics.increment('dispatch.refused', 1, {class: request.className});
		return Number.isFinite(waitMs)
			? toRefusal('ERR_VALVESADDLE_OVERLOADED', `the predicted wait is ${Math.round(waitMs)} ms`, planReturnMs(request, waitMs - requestClass.maximumWaitMs))
			: toRefusal('ERR_VALVESADDLE_NO_ENDPOINT', `no endpoint of pool "${options.pool}" takes work`, 0);
	}

	/**
	Plans when a refused caller comes back. This dispatcher alone decides for the pool, so that the order spreads the callers.
	*/
	function planReturnMs({className, account}: AcquireRequest, roomInMs: number): number {
		const intervalMs = stats.holdMs(className) / Math.max(1, table.sums().slots);
		return returns.planMs(`${className} ${account}`, {roomInMs, intervalMs, draw: 0});
	}

	function grantWaiting(): void {
		while (queue.size() > 0 && rankClasses(queue.views()).some(ranked => didGrant(ranked))) {
			// Each iteration grants one request.
		}
	}

	function didGrant(ranked: RankedClass): boolean {
		const isWarm = performance.now() - openedAt >= options.warmupMs;
		if (!isWarm && ranked.mode !== 'urgent') {
			return false;
		}

		const item = queue.peek(ranked.className);
		const endpoint = item && chooseEndpoint(table.candidates(ranked.mode), toRequirements(ranked.mode, item.value.request));
		if (item === undefined || endpoint === undefined) {
			return false;
		}

		queue.remove(item.requestId);
		queue.recordGrant(ranked.className, ranked.mode === 'floor');
		grant(item, endpoint, ranked.mode);
		return true;
	}

	function grant({value: {request, settle}, arrivedAt}: QueuedRequest<WaitingRequest>, endpoint: EndpointView, mode: GrantMode): void {
		const now = performance.now();
		const grantId = `${epoch}-${(++grantCount).toString(36)}`;
		const charged = lengths.expect(request.className, request.tokensSoFar) - request.tokensSoFar;
		grants.add({
			grantId,
			requestId: request.requestId,
			node: request.node,
			endpointId: endpoint.id,
			account: request.account,
			className: request.className,
			isUrgent: classes.get(request.className)?.urgent ?? false,
			grantedAt: now,
			renewedAt: now,
			tokens: 0,
			charged,
			memory: toClaim(request),
		});
		queue.charge(request.className, request.account, charged);
		sessions.record(request.session, endpoint.id);
		metrics.increment('dispatch.granted', 1, {class: request.className, mode});
		metrics.timing('dispatch.wait', now - arrivedAt, {class: request.className});
		settle({kind: 'granted', grant: {grantId, endpointId: endpoint.id, url: endpoint.url}});
	}

	async function addToQueue(request: AcquireRequest): Promise<AcquireReply> {
		const {promise, resolve} = Promise.withResolvers<AcquireReply>();
		queue.push({
			requestId: request.requestId,
			className: request.className,
			account: request.account,
			arrivedAt: performance.now() - request.waitedMs,
			ranMs: request.ranMs,
			value: {request, settle: resolve},
		});
		grantWaiting();
		return promise;
	}

	/**
	Removes a request from the queue, with `reply` as its answer, and removes its grant.
	*/
	function removeRequest(requestId: string, reply: AcquireReply): void {
		queue.remove(requestId)?.value.settle(reply);
		const entry = grants.findByRequest(requestId);
		if (entry !== undefined) {
			grants.remove(entry.grantId);
		}
	}

	function release(report: ReleaseReport): void {
		const entry = grants.remove(report.grantId);
		if (entry === undefined) {
			return;
		}

		queue.charge(entry.className, entry.account, report.tokens - entry.charged);
		stats.recordHold(entry.className, performance.now() - entry.grantedAt);
		table.observeTimes(entry.endpointId, report.firstTokenMs, report.interTokenMs);
		if (report.retryAfterMs !== undefined) {
			table.startCooldown(entry.endpointId, report.retryAfterMs);
		} else if (endpointFailures.has(report.outcome)) {
			table.observeFailure(entry.endpointId);
		} else if (report.outcome === 'complete') {
			lengths.record(entry.className, report.tokens);
			table.observeSuccess(entry.endpointId);
		}

		grantWaiting();
	}

	function recordProgress(node: string, report: ProgressReport, now: number): void {
		const entry = grants.find(report.grantId);
		if (entry?.node !== node) {
			return;
		}

		const charged = report.tokens > entry.charged ? lengths.expect(entry.className, report.tokens) : entry.charged;
		queue.charge(entry.className, entry.account, charged - entry.charged);
		table.observeTimes(entry.endpointId, entry.tokens === 0 ? report.firstTokenMs : undefined, measureInterToken(entry, report.tokens, now));
		grants.replace({
			...entry, tokens: report.tokens, charged, renewedAt: now,
		});
	}

	function registerGrants({node, grants: open}: RegisterRequest): void {
		const now = performance.now();
		const unknown = open.filter(({grantId}) => grants.find(grantId) === undefined);
		for (const entry of unknown) {
			grants.add({
				...entry,
				node,
				isUrgent: classes.get(entry.className)?.urgent ?? false,
				grantedAt: now,
				renewedAt: now,
				charged: entry.tokens,
			});
		}
	}

	function expireWaiting(now: number): void {
		for (const {value: {request, settle}} of queue.takeExpired(now)) {
			metrics.increment('dispatch.wait-expired', 1, {class: request.className});
			settle(toRefusal('ERR_VALVESADDLE_WAIT_EXPIRED', `no slot of pool "${options.pool}" came free in time`, stats.holdMs(request.className)));
		}
	}

	/**
	Removes waiting requests, whose nodes are told to ask for their dispatcher again; returns their number.
	*/
	function moveWhere(isMatch: (item: QueuedRequest<WaitingRequest>) => boolean): number {
		const moved = queue.takeWhere(isMatch);
		for (const {value: {settle}} of moved) {
			settle({kind: 'moved', owner: undefined, admitted: true});
		}

		return moved.length;
	}

	function updateHeadroom(): void {
		let urgentPerSecond = 0;
		let busyMs = 0;
		const urgentClasses = classes.values().filter(({urgent}) => urgent);
		for (const {name} of urgentClasses) {
			const rate = stats.arrivalsPerSecond(name);
			urgentPerSecond += rate;
			busyMs += rate * stats.holdMs(name);
		}

		const {slots, urgentInFlight} = table.sums();
		headroom = measureHeadroom({
			urgentPerSecond,
			urgentHoldMs: urgentPerSecond > 0 ? busyMs / urgentPerSecond : 0,
			urgentInFlight,
			slots,
		});
		table.setHeadroom(headroom);
	}

	applyConfiguration(options.configuration, options.leaving);

	return {
		events,
		async acquire(request) {
			removeRequest(request.requestId, {kind: 'moved', owner: undefined, admitted: true});
			stats.recordArrival(request.className);
			return admit(request) ?? addToQueue(request);
		},
		cancel(requestId) {
			removeRequest(requestId, toRefusal('ERR_VALVESADDLE_CANCELLED', 'the request was taken back', 0));
			grantWaiting();
		},
		release,
		progress(node, reports) {
			const now = performance.now();
			grants.renewNode(node, now);
			for (const report of reports) {
				recordProgress(node, report, now);
			}
		},
		register: registerGrants,
		dropNode(node) {
			moveWhere(({value}) => value.request.node === node);
		},
		observeLoad: table.observeLoad,
		configure: applyConfiguration,
		tick() {
			const now = performance.now();
			// After the event loop was blocked, releases and progress messages that have arrived are read before the next tick.
			if (now - lastTickAt <= longestTickMs) {
				metrics.increment('dispatch.grants-expired', grants.removeStale(now));
				expireWaiting(now);
			}

			stats.tick(now - lastTickAt);
			lastTickAt = now;
			table.tick();
			updateHeadroom();
			grantWaiting();
		},
		close() {
			return moveWhere(() => true);
		},
		endpoints: table.configured,
		status: () => ({
			pool: options.pool, waiting: queue.size(), inFlight: table.sums().inFlight, endpoints: table.views(),
		}),
		isIdle: () => queue.size() === 0 && grants.size() === 0,
	};
}

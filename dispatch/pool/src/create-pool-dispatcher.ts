import Emittery from 'emittery';
import type {AcquireReply, AcquireRequest, ReleaseReport} from '@valvesaddle/messages';
import {createLengthModel} from '@valvesaddle/lengths';
import {
	chooseEndpoint,
	hasSlot,
	orderClasses,
	predictWait,
	sizeHeadroom,
	type EndpointNeed,
	type EndpointView,
	type GrantMode,
	type Turn,
} from '@valvesaddle/policy';
import {createWaitingQueue, type Queued} from '@valvesaddle/queue';
import type {Configuration, RequestClass} from '@valvesaddle/types';
import {createClassStats} from './create-class-stats.ts';
import {createEndpointTable} from './create-endpoint-table.ts';
import {createSessionTable} from './create-session-table.ts';
import type {GrantEntry} from './grant-entry.ts';
import type {PoolDispatcher} from './pool-dispatcher.ts';
import type {PoolDispatcherOptions} from './pool-dispatcher-options.ts';
import type {PoolEvents} from './pool-events.ts';
import type {Waiting} from './waiting.ts';

const defaultInterTokenMs = 52;
const shortestRetryAfterMs = 1000;
const longestRetryAfterMs = 60_000;
/**
Failures of an endpoint that say nothing about it are those that the caller caused.
*/
const endpointFaults: ReadonlySet<ReleaseReport['outcome']> = new Set(['failed', 'not-run']);

/**
 Creates the dispatcher of one pool: a task without sockets that owns the queue, the grants and what was learned of
 the endpoints. Every decision is made by the pure functions of the policy package.

 @example
 const dispatcher = createPoolDispatcher({pool: 'drafting', configuration, leaving: new Set(), warmupMs: 0, grantLeaseMs: 5000, metrics});
 const reply = await dispatcher.acquire(request);
 */
export function createPoolDispatcher(options: PoolDispatcherOptions): PoolDispatcher {
	const {metrics} = options;
	const events = new Emittery<PoolEvents>();
	const queue = createWaitingQueue<Waiting>();
	const grants = new Map<string, GrantEntry>();
	const grantsByRequest = new Map<string, string>();
	const stats = createClassStats();
	const lengths = createLengthModel();
	const sessions = createSessionTable();
	const openedAt = Date.now();
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

	function configure(configuration: Configuration, leaving: ReadonlySet<string>): void {
		classes = new Map(configuration.classes.map(requestClass => [requestClass.name, requestClass]));
		interTokenTargetMs = configuration.pools.find(({name}) => name === options.pool)?.interTokenTargetMs ?? defaultInterTokenMs;
		queue.configure(configuration.classes, new Map(configuration.accounts.map(({name, weight}) => [name, weight])));
		table.configure(configuration.endpoints.filter(({pool}) => pool === options.pool), leaving);
		grantWaiting();
	}

	function toNeed(mode: GrantMode, request: AcquireRequest): EndpointNeed {
		return {
			mode,
			floor: classes.get(request.className)?.floor ?? 0,
			headroom,
			promptTokens: request.promptTokens + request.tokensSoFar,
			dataCentre: request.dataCentre,
			sessionEndpoint: sessions.find(request.session),
			avoid: request.avoid,
			mayProbe: request.repeatable && mode !== 'urgent',
		};
	}

	function predict(request: AcquireRequest, requestClass: RequestClass): number {
		const need = toNeed(requestClass.urgent ? 'urgent' : 'shared', request);
		const urgentInFlight = table.urgentInFlight();
		const slots = table.slots();
		return predictWait({
			requestClass,
			accountWaiting: queue.accountWaiting(request.className, request.account),
			accountShares: queue.accountShares(request.className, request.account),
			slots,
			urgentSlots: urgentInFlight + (headroom * slots),
			freeSlots: countFreeSlots(table.views(), need),
		}, queue.views().map(view => ({...view, holdMs: stats.holdMs(view.requestClass.name)})));
	}

	function refuse(request: AcquireRequest, waitMs: number, requestClass: RequestClass): AcquireReply {
		const hasEndpoint = Number.isFinite(waitMs);
		metrics.increment('dispatch.refused', 1, {class: request.className});
		return {
			kind: 'refused',
			code: hasEndpoint ? 'ERR_VALVESADDLE_OVERLOADED' : 'ERR_VALVESADDLE_NO_ENDPOINT',
			message: hasEndpoint ? `the predicted wait is ${Math.round(waitMs)} ms` : `no endpoint of pool "${request.pool}" takes work`,
			retryAfterMs: toRetryAfter(hasEndpoint ? waitMs - requestClass.maximumWaitMs : shortestRetryAfterMs),
		};
	}

	function grantWaiting(): void {
		while (queue.size() > 0 && orderClasses(queue.views()).some(turn => didGrant(turn))) {
			// Each round grants one request.
		}
	}

	function didGrant(turn: Turn): boolean {
		const isWarm = Date.now() - openedAt >= options.warmupMs;
		if (!isWarm && turn.mode !== 'urgent') {
			return false;
		}

		const item = queue.peek(turn.className);
		const endpoint = item && chooseEndpoint(table.views(), toNeed(turn.mode, item.value.request));
		if (item === undefined || endpoint === undefined) {
			return false;
		}

		queue.remove(item.requestId);
		queue.bookGrant(turn.className, turn.mode === 'floor');
		grant(item, endpoint, turn.mode);
		return true;
	}

	function grant({value: {request, settle}, arrivedAt}: Queued<Waiting>, endpoint: EndpointView, mode: GrantMode): void {
		const now = Date.now();
		const grantId = `${request.requestId}#${++grantCount}`;
		const charged = lengths.expect(request.className, request.tokensSoFar) - request.tokensSoFar;
		addGrant({
			grantId,
			requestId: request.requestId,
			node: request.node,
			endpointId: endpoint.id,
			account: request.account,
			className: request.className,
			mode,
			isUrgent: classes.get(request.className)?.urgent ?? false,
			grantedAt: now,
			renewedAt: now,
			tokens: 0,
			charged,
		});
		queue.charge(request.className, request.account, charged);
		sessions.remember(request.session, endpoint.id);
		metrics.increment('dispatch.granted', 1, {class: request.className, mode});
		metrics.timing('dispatch.wait', now - arrivedAt, {class: request.className});
		settle({
			kind: 'granted', grant: {
				grantId, pool: options.pool, endpointId: endpoint.id, url: endpoint.url,
			},
		});
	}

	function addGrant(entry: GrantEntry): void {
		grants.set(entry.grantId, entry);
		grantsByRequest.set(entry.requestId, entry.grantId);
		table.count(entry.endpointId, 1, entry.isUrgent);
	}

	function removeGrant(grantId: string): GrantEntry | undefined {
		const entry = grants.get(grantId);
		if (entry === undefined) {
			return undefined;
		}

		grants.delete(grantId);
		if (grantsByRequest.get(entry.requestId) === grantId) {
			grantsByRequest.delete(entry.requestId);
		}

		table.count(entry.endpointId, -1, entry.isUrgent);
		return entry;
	}

	function expireGrants(now: number): void {
		for (const entry of grants.values()) {
			if (!(now - entry.renewedAt >= options.grantLeaseMs)) {
				continue;
			}

			removeGrant(entry.grantId);
			metrics.increment('dispatch.grants-expired');
		}
	}

	function expireWaiting(now: number): void {
		for (const {value: {request, settle}} of queue.takeExpired(now)) {
			metrics.increment('dispatch.wait-expired', 1, {class: request.className});
			settle({
				kind: 'refused',
				code: 'ERR_VALVESADDLE_WAIT_EXPIRED',
				message: `no slot of pool "${options.pool}" came free in time`,
				retryAfterMs: toRetryAfter(stats.holdMs(request.className)),
			});
		}
	}

	function updateHeadroom(): void {
		let urgentPerSecond = 0;
		let holdMs = 0;
		for (const requestClass of classes.values()) {
			if (!requestClass.urgent) {
				continue;
			}

			const rate = stats.arrivalsPerSecond(requestClass.name);
			urgentPerSecond += rate;
			holdMs += rate * stats.holdMs(requestClass.name);
		}

		headroom = sizeHeadroom({
			urgentPerSecond,
			urgentHoldMs: urgentPerSecond > 0 ? holdMs / urgentPerSecond : 0,
			urgentInFlight: table.urgentInFlight(),
			slots: table.slots(),
		});
	}

	configure(options.configuration, options.leaving);

	return {
		events,
		async acquire(request) {
			const previous = grantsByRequest.get(request.requestId);
			if (previous !== undefined) {
				removeGrant(previous);
			}

			queue.remove(request.requestId)?.value.settle({kind: 'moved', owner: undefined, admitted: true});
			stats.recordArrival(request.className);
			const requestClass = classes.get(request.className);
			if (requestClass === undefined) {
				return {
					kind: 'refused', code: 'ERR_VALVESADDLE_CLASS_NOT_ALLOWED', message: `class "${request.className}" is not configured`, retryAfterMs: 0,
				};
			}

			const waitMs = request.admitted ? 0 : predict(request, requestClass);
			if (waitMs > requestClass.maximumWaitMs) {
				return refuse(request, waitMs, requestClass);
			}

			const {promise, resolve} = Promise.withResolvers<AcquireReply>();
			queue.push({
				requestId: request.requestId,
				className: request.className,
				account: request.account,
				arrivedAt: Date.now() - request.waitedMs,
				value: {request, settle: resolve},
			});
			grantWaiting();
			return promise;
		},
		cancel(requestId) {
			queue.remove(requestId)?.value.settle({
				kind: 'refused', code: 'ERR_VALVESADDLE_CANCELLED', message: 'the request was taken back', retryAfterMs: 0,
			});
			const grantId = grantsByRequest.get(requestId);
			if (grantId === undefined) {
				return;
			}

			removeGrant(grantId);
			grantWaiting();
		},
		release(report) {
			const entry = removeGrant(report.grantId);
			if (entry === undefined) {
				return;
			}

			queue.charge(entry.className, entry.account, report.tokens - entry.charged);
			stats.recordHold(entry.className, Date.now() - entry.grantedAt);
			table.observeTimes(entry.endpointId, report.firstTokenMs, report.interTokenMs);
			if (endpointFaults.has(report.outcome)) {
				table.observeFailure(entry.endpointId);
			} else if (report.outcome === 'complete') {
				lengths.record(entry.className, report.tokens);
				table.observeSuccess(entry.endpointId);
			}

			grantWaiting();
		},
		progress(node, reports) {
			const now = Date.now();
			for (const report of reports) {
				const entry = grants.get(report.grantId);
				if (entry === undefined || entry.node !== node) {
					continue;
				}

				const charged = report.tokens > entry.charged ? lengths.expect(entry.className, report.tokens) : entry.charged;
				queue.charge(entry.className, entry.account, charged - entry.charged);
				table.observeTimes(entry.endpointId, entry.tokens === 0 ? report.firstTokenMs : undefined, toInterToken(entry, report.tokens, now));
				grants.set(entry.grantId, {
					...entry, tokens: report.tokens, charged, renewedAt: now,
				});
			}
		},
		register({node, grants: open}) {
			const now = Date.now();
			for (const grantInfo of open) {
				if (grants.has(grantInfo.grantId)) {
					continue;
				}

				const requestClass = classes.get(grantInfo.className);
				addGrant({
					...grantInfo,
					node,
					mode: requestClass?.urgent ? 'urgent' : 'shared',
					isUrgent: requestClass?.urgent ?? false,
					grantedAt: now,
					renewedAt: now,
					charged: grantInfo.tokens,
				});
			}
		},
		dropNode(node) {
			queue.takeWhere(({value}) => value.request.node === node);
		},
		observeLoad(endpointId, report) {
			table.observeLoad(endpointId, report);
		},
		configure,
		tick() {
			const now = Date.now();
			expireGrants(now);
			expireWaiting(now);
			stats.tick(now - lastTickAt);
			lastTickAt = now;
			table.tick();
			updateHeadroom();
			grantWaiting();
		},
		close() {
			const waiting = queue.takeWhere(() => true);
			for (const {value: {settle}} of waiting) {
				settle({kind: 'moved', owner: undefined, admitted: true});
			}

			return waiting.length;
		},
		endpoints: () => table.configured(),
		status: () => ({
			pool: options.pool, waiting: queue.size(), inFlight: table.inFlight(), endpoints: table.views(),
		}),
		isIdle: () => queue.size() === 0 && grants.size === 0,
	};
}

function countFreeSlots(views: readonly EndpointView[], need: EndpointNeed): number {
	let free = 0;
	for (const view of views) {
		if (!hasSlot(view, need)) {
			continue;
		}

		const held = need.mode === 'urgent' ? view.urgentInFlight : view.inFlight + view.external + (need.headroom * view.limit);
		free += Math.max(1, view.limit - held);
	}

	return free;
}

function toRetryAfter(waitMs: number): number {
	return Math.round(Math.min(longestRetryAfterMs, Math.max(shortestRetryAfterMs, waitMs)));
}

function toInterToken(entry: GrantEntry, tokens: number, now: number): number | undefined {
	const fresh = tokens - entry.tokens;
	const elapsedMs = now - entry.renewedAt;
	if (entry.tokens === 0) {
		return undefined;
	}

	return fresh > 0 ? elapsedMs / fresh : elapsedMs;
}

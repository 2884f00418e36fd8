import type {ServicePool, ServingEndpoint} from '@valvesaddle/gateway-types';
import {chooseByLoad} from './choose-by-load.ts';
import {createBodyPlaces} from './create-body-places.ts';
import {createBoundedSet} from './create-bounded-set.ts';
import {createCooldownTable} from './create-cooldown-table.ts';
import {createFailureTable} from './create-failure-table.ts';
import {createFleetEvidence} from './create-fleet-evidence.ts';
import {createLoadTable} from './create-load-table.ts';
import {createPlainChooser} from './create-plain-chooser.ts';
import {createPrefixCacheModel} from './create-prefix-cache-model.ts';
import {createPromptChooser} from './create-prompt-chooser.ts';
import {createRequestLimits} from './create-request-limits.ts';
import {createRoomModel} from './create-room-model.ts';
import {createStallMonitor} from './create-stall-monitor.ts';
import {createRequestTracker} from './create-request-tracker.ts';
import {formatIncarnation} from './format-incarnation.ts';
import {measureSlotWait} from './measure-slot-wait.ts';
import {listIsolated} from './list-isolated.ts';
import type {KnownEndpoint} from './known-endpoint.ts';
import type {FleetNodes} from './fleet-nodes.ts';
import type {LoadUpdate} from './load-update.ts';
import type {OpenRequest} from './open-request.ts';
import type {Placement} from './placement.ts';
import type {Rating} from './rating.ts';
import type {Selection} from './selection.ts';
import type {SelectionCriteria} from './selection-criteria.ts';
import type {Selector} from './selector.ts';
import type {SelectorOptions} from './selector-options.ts';
import {toEvidence} from './to-evidence.ts';

/**
Remembered incarnations: enough for hours of restarts of a large fleet, while late load updates arrive within seconds.
*/
const maximumIncarnations = 2000;

const aloneFleet: FleetNodes = {self: '', list: () => ['']};

/**
 Creates the selector of a node.

 @example
 const selector = createSelector({interferenceWeight: 1, riskWeight: 1, reuseMs: 10_000, rereadMsPerToken: 0.3, prefillTokensPerMs: 50});
 selector.addEndpoint(endpoint);
 const selection = selector.choose({pool: 'drafting', promptTokens: 900, parts, tried: new Set()});
 */
export function createSelector(options: SelectorOptions): Selector {
	const endpoints = new Map<string, KnownEndpoint>();
	/**
	Incarnations whose endpoint was removed or started again.
	*/
	const removed = createBoundedSet(maximumIncarnations);
	const pools = new Map<string, ServicePool>();
	const loads = createLoadTable();
	const prefixes = createPrefixCacheModel({reuseMs: options.reuseMs});
	const failures = createFailureTable();
	const cooldowns = createCooldownTable();
	/**
	Incarnations that announced in an answer that they drain; their entries may still say `ready`.
	*/
	const draining = createBoundedSet(maximumIncarnations);
	// Fixed at the start, so that a change of the system time moves no permit.
	const startedAt = Date.now() - performance.now();
	const toUnixTime = (at: number): number => startedAt + at;
	const fleet = options.fleet ?? aloneFleet;
	const limits = createRequestLimits(fleet, toUnixTime);
	const rooms = createRoomModel({isOn: options.isMemoryPredicted ?? false, loads, onImpossibleMemory: options.onImpossibleMemory});
	const chooser = createPromptChooser({
		settings: options, loads, prefixes, rooms,
	});
	const places = options.largeBodies && createBodyPlaces(options.largeBodies);
	let unseenFactor = 1;
	let lastUpdateAt: number | undefined;
	let placements: Placement[] = [];
	const stallMonitor = createStallMonitor({
		loads,
		measureLongestPauseMs: pool => chooser.getPauseModel(pool).getLongestPauseMs(),
		onStalled: failures.ejectStalled,
	});
	const evidenceWatch = createFleetEvidence({
		settings: options, loads, fleet, toUnixTime, getUnseenFactor: () => unseenFactor,
	});
	const plainChooser = options.isPlainPaced === true ? createPlainChooser({loads, random: Math.random}) : undefined;
	const isEvidenceKept = evidenceWatch !== undefined || plainChooser !== undefined;
	const tracker = createRequestTracker({
		loads,
		failures,
		chooser,
		rooms,
		stallMonitor,
		onPlacement(placement) {
			addPlacement(placement);
			placements.push(placement);
			options.onPlacement?.();
		},
		onEnd(request) {
			const evidence = isEvidenceKept ? toEvidence(request) : undefined;
			if (evidence !== undefined) {
				loads.recordEvidence(request.selection.endpoint.incarnation, evidence);
			}
		},
	});

	function addPlacement(placement: Placement): void {
		prefixes.add(placement);
		rooms.recordPlacement(placement);
		chooser.recordPlacement(placement.pool, placement.endpoint, placement.tokens);
	}

	function hasCooldown(incarnation: string): boolean {
		return cooldowns.getRemainingMs(incarnation) > 0;
	}

	/**
	Whether an endpoint is ready by its entry and has not announced that it drains; cooldowns are checked separately.
	*/
	function isReady({state, incarnation}: KnownEndpoint): boolean {
		return state === 'ready' && !draining.has(incarnation);
	}

	function markDraining(incarnation: string): void {
		if (draining.has(incarnation)) {
			return;
		}

		draining.add(incarnation);
		chooser.markChanged();
	}

	function listReady(pool: string): readonly KnownEndpoint[] {
		return endpoints.values().filter(endpoint => endpoint.pool === pool && isReady(endpoint)).toArray();
	}

	/**
	Endpoints that were not tried, have no cooldown and accept a request of this node and its body: the healthy ones, or the ejected ones if there are no others and they are
	allowed. An isolated request has one of them.
	*/
	function listCandidates(ready: readonly KnownEndpoint[], criteria: SelectionCriteria): readonly KnownEndpoint[] {
		const {pool, tried, isHealthyOnly = false, isolationKey, isRepeatable = true, bodyBytes = 0, hasTurn} = criteria;
		const untried = ready.filter(({incarnation}) => !tried.has(incarnation) && !hasCooldown(incarnation) && limits.hasPermit(incarnation));
		evidenceWatch?.update(pool, ready);
		const isPoolFailing = evidenceWatch?.isPoolFailing(pool);
		const healthy = untried.filter(({incarnation}) => !failures.isEjected(incarnation, isPoolFailing) && evidenceWatch?.canUse(incarnation, isRepeatable) !== false);
		const usable = isHealthyOnly || healthy.length > 0 ? healthy : untried;
		const allowed = isolationKey === undefined ? usable : listIsolated(isolationKey, usable);
		const withRoom = allowed.filter(endpoint => getLackMs(endpoint, criteria) === 0 && (hasTurn === undefined || hasTurn(endpoint.incarnation)));
		return places?.narrow(withRoom, bodyBytes) ?? withRoom;
	}

	function choosePlain(ready: readonly KnownEndpoint[], candidates: readonly KnownEndpoint[], criteria: SelectionCriteria): Rating | undefined {
		return plainChooser === undefined ? chooseByLoad({loads, candidates, urgency: criteria.urgency}) : plainChooser.choose(ready, candidates, criteria);
	}

	function choose(criteria: SelectionCriteria): Selection | undefined {
		const ready = listReady(criteria.pool);
		const candidates = listCandidates(ready, criteria);
		const rating = pools.get(criteria.pool)?.engine === undefined
			? choosePlain(ready, candidates, criteria)
			: chooser.choose(ready, candidates, criteria);
		return rating && {...rating, unseenFactor, newsAgeMs: lastUpdateAt === undefined ? -1 : Math.round(performance.now() - lastUpdateAt)};
	}

	function getRoomInMs(endpoint: KnownEndpoint, criteria: SelectionCriteria): number {
		return Math.max(measureSlotWait(loads.get(endpoint.incarnation).open, endpoint.slots), rooms.predictRoom(endpoint, criteria)?.waitMs ?? 0);
	}

	/**
	Milliseconds until an endpoint has room within the time that the criteria allow; 0 if it has now, or that does not matter.
	*/
	function getLackMs(endpoint: KnownEndpoint, criteria: SelectionCriteria): number {
		const {roomWithinMs} = criteria;
		return roomWithinMs === undefined ? 0 : Math.max(failures.getFullMs(endpoint.incarnation), getRoomInMs(endpoint, criteria) - roomWithinMs, 0);
	}

	function getPauseMs({incarnation}: KnownEndpoint): number {
		return Math.max(cooldowns.getRemainingMs(incarnation), limits.getWaitMs(incarnation));
	}

	/**
	Drops rows of removed incarnations, which peers send until they know the new one.
	*/
	function removeStale({loads: peerLoads, placements: peerPlacements}: LoadUpdate): LoadUpdate {
		return {
			loads: peerLoads.filter(([endpoint]) => !removed.has(endpoint)),
			placements: peerPlacements.filter(({endpoint}) => !removed.has(endpoint)),
		};
	}

	function updateCapacity({incarnation, pool}: KnownEndpoint): void {
		const cacheTokens = pools.get(pool)?.engine?.cacheTokens;
		prefixes.setCapacity(incarnation, cacheTokens ?? Infinity);
		rooms.setCapacity(incarnation, cacheTokens);
	}

	function addEndpoint(endpoint: ServingEndpoint): void {
		const known = {...endpoint, incarnation: formatIncarnation(endpoint)};
		endpoints.set(endpoint.id, known);
		chooser.markChanged();
		removed.remove(known.incarnation);
		updateCapacity(known);
		options.onRoom?.(undefined);
	}

	/**
	Removes an incarnation from all tables. The tracker is last, since requests whose handlers it calls choose again.
	*/
	function removeIncarnation(incarnation: string, endedAt: number): void {
		removed.add(incarnation);
		loads.removeEndpoint(incarnation);
		prefixes.removeEndpoint(incarnation);
		rooms.removeEndpoint(incarnation);
		failures.removeEndpoint(incarnation);
		limits.didSet(incarnation, undefined);
		stallMonitor.removeEndpoint(incarnation);
		evidenceWatch?.removeEndpoint(incarnation);
		chooser.removeEndpoint(incarnation);
		placements = placements.filter(({endpoint}) => endpoint !== incarnation);
		tracker.removeEndpoint(incarnation, endedAt);
	}

	function open(selection: Selection, criteria: SelectionCriteria): OpenRequest {
		const {incarnation} = selection.endpoint;
		let permit = limits.takePermit(incarnation);
		const giveBack = places?.take(incarnation, criteria.bodyBytes ?? 0);
		const request = tracker.open(selection, criteria);
		return {
			...request,
			close(end) {
				giveBack?.();
				request.close(end);
				options.onRoom?.(incarnation);
			},
			canSend() {
				permit = permit === 'unlimited' ? limits.takePermit(incarnation) : permit;
				return permit !== 'denied';
			},
		};
	}

	return {
		addEndpoint,
		removeEndpoint(id) {
			const known = endpoints.get(id);
			endpoints.delete(id);
			chooser.markChanged();
			if (known !== undefined) {
				// Its process may still finish its requests, so none is reported as ended.
				removeIncarnation(known.incarnation, -Infinity);
			}
		},
		setIncarnation(endpoint) {
			const before = endpoints.get(endpoint.id);
			addEndpoint(endpoint);
			if (before !== undefined && before.born !== endpoint.born) {
				removeIncarnation(before.incarnation, endpoint.born ?? -Infinity);
			}
		},
		setPools(newPools) {
			pools.clear();
			for (const pool of newPools) {
				pools.set(pool.name, pool);
			}

			for (const known of endpoints.values()) {
				updateCapacity(known);
			}
		},
		setPauseObjectives(objectives) {
			for (const name of pools.keys()) {
				chooser.getReservation(name).setPauseObjective(objectives.get(name) ?? 0);
			}
		},
		choose,
		open,
		applyNotice(incarnation, {retryAfterMs, isLeaving}) {
			if (retryAfterMs !== undefined) {
				cooldowns.start(incarnation, retryAfterMs);
			}

			if (isLeaving) {
				markDraining(incarnation);
			}
		},
		isServing: incarnation => endpoints.values().some(endpoint => endpoint.incarnation === incarnation && isReady(endpoint)),
		didSetLimit: limits.didSet,
		canTake({id, incarnation}) {
			const known = endpoints.get(id);
			return known?.incarnation === incarnation && isReady(known) && !hasCooldown(incarnation);
		},
		hasRoom: (endpoint, criteria) => getRoomInMs(endpoint, criteria) === 0,
		getRoomInMs,
		isPoolFailing: pool => evidenceWatch?.isPoolFailing(pool) ?? false,
		getPoolRoomInMs(criteria) {
			const untried = listReady(criteria.pool).filter(({incarnation}) => !criteria.tried.has(incarnation));
			return Math.min(Infinity, ...untried.map(endpoint => Math.max(getPauseMs(endpoint), getLackMs(endpoint, criteria))));
		},
		getCooldownMs(pool) {
			const remaining = listReady(pool).map(endpoint => getPauseMs(endpoint));
			return remaining.length === 0 ? 0 : Math.min(...remaining);
		},
		takeLoadUpdate(readAt = performance.now()) {
			stallMonitor.update(endpoints.values(), readAt);
			const update = {loads: loads.takeChanged(), placements};
			placements = [];
			return update.loads.length === 0 && update.placements.length === 0 ? undefined : update;
		},
		listOwn: () => ({loads: loads.listOwn(), placements: []}),
		applyLoadUpdate(node, update) {
			lastUpdateAt = performance.now();
			const known = removeStale(update);
			const current = {...known, loads: rooms.fitLoads(node, known.loads)};
			for (const [endpoint, load] of current.loads) {
				loads.applyPeer(node, endpoint, load);
			}

			for (const placement of current.placements) {
				addPlacement(placement);
			}

			options.onRoom?.(undefined);
			return current;
		},
		setUnseenFactor(factor) {
			unseenFactor = factor;
			loads.setUnseenFactor(factor);
		},
		measurePoolLoad: pool => ({
			...chooser.getPrefillRate(pool),
			open: listReady(pool).reduce((sum, {incarnation}) => sum + loads.get(incarnation).open, 0),
		}),
		removeNode: loads.removePeer,
	};
}

import type {Endpoint} from '@valvesaddle/types';
import {
	adjustLimit,
	ejectEndpoint,
	findOutliers,
	updateAverage,
	type EndpointMemory,
	type EndpointView,
} from '@valvesaddle/policy';
import {addToSums} from './add-to-sums.ts';
import {createEndpointView} from './create-endpoint-view.ts';
import {createSlotIndex} from './create-slot-index.ts';
import type {EndpointTable} from './endpoint-table.ts';
import {setMemoryClaim} from './set-memory-claim.ts';
import type {EndpointTableOptions} from './endpoint-table-options.ts';
import type {PoolSums} from './pool-sums.ts';

const sampleWeight = 0.2;
/**
Factor applied to the external load at each tick.
*/
const externalDecayFactor = 0.8;
const minimumExternal = 0.05;
/**
Upper bound for the cooldown that an endpoint requests, in case its value is wrong.
*/
const maximumCooldownMs = 300_000;

/**
 Creates the table of a pool's endpoints. Views are immutable and replaced on each change.

 @example
 const table = createEndpointTable({interTokenTargetMs: () => 52, onState() {}});
 */
export function createEndpointTable(options: EndpointTableOptions): EndpointTable {
	let endpoints: readonly Endpoint[] = [];
	let leavingIds: ReadonlySet<string> = new Set();
	const reportedLeaving = new Set<string>();
	const table = new Map<string, EndpointView>();
	const index = createSlotIndex();
	let sums: PoolSums = {
		slots: 0, inFlight: 0, urgentInFlight: 0, live: 0,
	};
	let cachedViews: readonly EndpointView[] | undefined;

	function setView(view: EndpointView): void {
		const before = table.get(view.id);
		if (before === view) {
			return;
		}

		table.set(view.id, view);
		index.set(view);
		sums = addToSums(addToSums(sums, before, -1), view, 1);
		cachedViews = undefined;
		if (before !== undefined && before.state !== view.state) {
			options.onState(view.id, before.state, view.state);
		}
	}

	function updateView(endpointId: string, change: (view: EndpointView) => EndpointView): void {
		const view = table.get(endpointId);
		if (view !== undefined) {
			setView(change(view));
		}
	}

	function isLeaving(endpoint: Endpoint): boolean {
		return endpoint.leaving || leavingIds.has(endpoint.id) || reportedLeaving.has(endpoint.id);
	}

	function updateLeaving(endpoint: Endpoint): void {
		updateView(endpoint.id, view => {
			if (isLeaving(endpoint)) {
				return view.state === 'leaving' ? view : {...view, state: 'leaving'};
			}

			return view.state === 'leaving' ? {...view, state: view.cooldownUntil > performance.now() ? 'cooling' : 'live'} : view;
		});
	}

	function advanceView(view: EndpointView, now: number): EndpointView {
		if (view.state === 'cooling' && performance.now() >= view.cooldownUntil) {
			return {...view, state: view.ejectedUntil > now ? 'ejected' : 'live'};
		}

		if (view.state === 'ejected' && now >= view.ejectedUntil) {
			return {...view, state: 'probing'};
		}

		return view.external > 0 ? {...view, external: view.external < minimumExternal ? 0 : view.external * externalDecayFactor} : view;
	}

	function getViews(): readonly EndpointView[] {
		cachedViews ??= table.values().toArray();
		return cachedViews;
	}

	function ejectOutliers(now: number): void {
		for (const id of findOutliers(getViews())) {
			updateView(id, view => ejectEndpoint({...view, interTokenMs: undefined, failures: 0}, now));
		}
	}

	return {
		configure(configured, leaving) {
			endpoints = configured;
			leavingIds = leaving;
			const ids = new Set(configured.map(({id}) => id));
			for (const id of table.keys()) {
				if (ids.has(id)) {
					continue;
				}

				sums = addToSums(sums, table.get(id), -1);
				index.remove(id);
				table.delete(id);
				reportedLeaving.delete(id);
				cachedViews = undefined;
			}

			for (const endpoint of configured) {
				const known = table.get(endpoint.id);
				setView(known === undefined ? createEndpointView(endpoint) : updateEndpoint(known, endpoint));
				updateLeaving(endpoint);
			}
		},
		updateInFlight(endpointId, by, isUrgent) {
			updateView(endpointId, view => ({
				...view,
				inFlight: Math.max(0, view.inFlight + by),
				urgentInFlight: Math.max(0, view.urgentInFlight + (isUrgent ? by : 0)),
			}));
		},
		setClaim(endpointId, grantId, claim) {
			updateView(endpointId, view => view.memory === undefined ? view : {...view, memory: setMemoryClaim(view.memory, grantId, claim)});
		},
		observeTimes(endpointId, firstTokenMs, interTokenMs) {
			updateView(endpointId, view => adjustLimit({
				...view,
				firstTokenMs: firstTokenMs === undefined ? view.firstTokenMs : updateAverage(view.firstTokenMs, firstTokenMs, sampleWeight),
				interTokenMs: interTokenMs === undefined ? view.interTokenMs : updateAverage(view.interTokenMs, interTokenMs, sampleWeight),
			}, {interTokenMs: options.interTokenTargetMs(), now: Date.now()}));
		},
		observeFailure(endpointId) {
			updateView(endpointId, view => view.state === 'probing'
				? ejectEndpoint(view, Date.now())
				: {...view, failures: view.failures + 1});
			ejectOutliers(Date.now());
		},
		startCooldown(endpointId, milliseconds) {
			const until = performance.now() + Math.min(maximumCooldownMs, milliseconds);
			updateView(endpointId, view => ({
				...view, state: view.state === 'leaving' ? 'leaving' : 'cooling', cooldownUntil: Math.max(until, view.cooldownUntil),
			}));
		},
		getCooldownMs() {
			const expiries = getViews().filter(({state}) => state === 'cooling').map(({cooldownUntil}) => cooldownUntil);
			return expiries.length === 0 ? undefined : Math.max(0, Math.min(...expiries) - performance.now());
		},
		observeSuccess(endpointId) {
			updateView(endpointId, view => view.state === 'probing'
				? {...view, state: 'live', failures: 0}
				: {...view, failures: 0, ejections: view.state === 'live' && view.failures === 0 ? Math.max(0, view.ejections - 0.1) : view.ejections});
		},
		observeLoad(endpointId, report) {
			const endpoint = endpoints.find(({id}) => id === endpointId);
			if (endpoint === undefined) {
				return;
			}

			if (report.leaving) {
				reportedLeaving.add(endpointId);
			} else {
				reportedLeaving.delete(endpointId);
			}

			updateView(endpointId, view => ({...view, external: Math.max(0, report.requests - view.inFlight)}));
			updateLeaving(endpoint);
		},
		tick() {
			const now = Date.now();
			for (const view of getViews()) {
				setView(advanceView(view, now));
			}

			ejectOutliers(now);
		},
		views: getViews,
		configured: () => endpoints,
		sums: () => sums,
		candidates: index.candidates,
		setHeadroom: index.setHeadroom,
	};
}

function updateEndpoint(view: EndpointView, {url, dataCentre, memoryTokens}: Endpoint): EndpointView {
	const memory: EndpointMemory | undefined = memoryTokens === undefined ? undefined : {capacityTokens: memoryTokens, claims: view.memory?.claims ?? new Map()};
	return {
		...view, url, dataCentre, memory,
	};
}

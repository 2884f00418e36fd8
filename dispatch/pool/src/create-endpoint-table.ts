import type {Endpoint} from '@valvesaddle/types';
import {
	adjustLimit,
	ejectEndpoint,
	findOutliers,
	updateAverage,
	type EndpointView,
} from '@valvesaddle/policy';
import {addToSums} from './add-to-sums.ts';
import {createEndpointView} from './create-endpoint-view.ts';
import {createSlotIndex} from './create-slot-index.ts';
import type {EndpointTable} from './endpoint-table.ts';
import type {EndpointTableOptions} from './endpoint-table-options.ts';
import type {PoolSums} from './pool-sums.ts';

const sampleWeight = 0.2;
/**
Part of the external load that is left after each tick without a report.
*/
const externalDecay = 0.8;
const negligibleExternal = 0.05;
/**
Bounds what a broken endpoint can ask for, in milliseconds.
*/
const longestCooldownMs = 300_000;

/**
 Creates the table of a pool's endpoints. Views are replaced, never changed.

 @example
 const table = createEndpointTable({interTokenTargetMs: () => 52, onState() {}});
 */
export function createEndpointTable(options: EndpointTableOptions): EndpointTable {
	let endpoints: readonly Endpoint[] = [];
	let leavingIds: ReadonlySet<string> = new Set();
	const saidLeaving = new Set<string>();
	const table = new Map<string, EndpointView>();
	const index = createSlotIndex();
	let sums: PoolSums = {
		slots: 0, inFlight: 0, urgentInFlight: 0, live: 0,
	};
	let cached: readonly EndpointView[] | undefined;

	function setView(view: EndpointView): void {
		const before = table.get(view.id);
		if (before === view) {
			return;
		}

		table.set(view.id, view);
		index.set(view);
		sums = addToSums(addToSums(sums, before, -1), view, 1);
		cached = undefined;
		if (before !== undefined && before.state !== view.state) {
			options.onState(view.id, before.state, view.state);
		}
	}

	function update(endpointId: string, change: (view: EndpointView) => EndpointView): void {
		const view = table.get(endpointId);
		if (view !== undefined) {
			setView(change(view));
		}
	}

	function isLeaving(endpoint: Endpoint): boolean {
		return endpoint.leaving || leavingIds.has(endpoint.id) || saidLeaving.has(endpoint.id);
	}

	function markLeaving(endpoint: Endpoint): void {
		update(endpoint.id, view => {
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

		return view.external > 0 ? {...view, external: view.external < negligibleExternal ? 0 : view.external * externalDecay} : view;
	}

	function getViews(): readonly EndpointView[] {
		cached ??= table.values().toArray();
		return cached;
	}

	function ejectStragglers(now: number): void {
		for (const id of findOutliers(getViews())) {
			update(id, view => ejectEndpoint({...view, interTokenMs: undefined, failures: 0}, now));
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
				saidLeaving.delete(id);
				cached = undefined;
			}

			for (const endpoint of configured) {
				const known = table.get(endpoint.id);
				setView(known === undefined ? createEndpointView(endpoint) : {...known, url: endpoint.url, dataCentre: endpoint.dataCentre});
				markLeaving(endpoint);
			}
		},
		updateInFlight(endpointId, by, isUrgent) {
			update(endpointId, view => ({
				...view,
				inFlight: Math.max(0, view.inFlight + by),
				urgentInFlight: Math.max(0, view.urgentInFlight + (isUrgent ? by : 0)),
			}));
		},
		observeTimes(endpointId, firstTokenMs, interTokenMs) {
			update(endpointId, view => adjustLimit({
				...view,
				firstTokenMs: firstTokenMs === undefined ? view.firstTokenMs : updateAverage(view.firstTokenMs, firstTokenMs, sampleWeight),
				interTokenMs: interTokenMs === undefined ? view.interTokenMs : updateAverage(view.interTokenMs, interTokenMs, sampleWeight),
			}, {interTokenMs: options.interTokenTargetMs(), now: Date.now()}));
		},
		observeFailure(endpointId) {
			update(endpointId, view => view.state === 'probing'
				? ejectEndpoint(view, Date.now())
				: {...view, failures: view.failures + 1});
			ejectStragglers(Date.now());
		},
		startCooldown(endpointId, milliseconds) {
			const until = performance.now() + Math.min(longestCooldownMs, milliseconds);
			update(endpointId, view => ({
				...view, state: view.state === 'leaving' ? 'leaving' : 'cooling', cooldownUntil: Math.max(until, view.cooldownUntil),
			}));
		},
		getCooldownMs() {
			const ends = getViews().filter(({state}) => state === 'cooling').map(({cooldownUntil}) => cooldownUntil);
			return ends.length === 0 ? undefined : Math.max(0, Math.min(...ends) - performance.now());
		},
		observeSuccess(endpointId) {
			update(endpointId, view => view.state === 'probing'
				? {...view, state: 'live', failures: 0}
				: {...view, failures: 0, ejections: view.state === 'live' && view.failures === 0 ? Math.max(0, view.ejections - 0.1) : view.ejections});
		},
		observeLoad(endpointId, report) {
			const endpoint = endpoints.find(({id}) => id === endpointId);
			if (endpoint === undefined) {
				return;
			}

			if (report.leaving) {
				saidLeaving.add(endpointId);
			} else {
				saidLeaving.delete(endpointId);
			}

			update(endpointId, view => ({...view, external: Math.max(0, report.requests - view.inFlight)}));
			markLeaving(endpoint);
		},
		tick() {
			const now = Date.now();
			for (const view of getViews()) {
				setView(advanceView(view, now));
			}

			ejectStragglers(now);
		},
		views: getViews,
		configured: () => endpoints,
		sums: () => sums,
		candidates: index.candidates,
		setHeadroom: index.setHeadroom,
	};
}

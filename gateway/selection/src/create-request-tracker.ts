import {countPendingPrefill} from './count-pending-prefill.ts';
import type {EndedRequest} from './ended-request.ts';
import type {EndpointLoad} from './endpoint-load.ts';
import type {FailureTable} from './failure-table.ts';
import type {LoadTable} from './load-table.ts';
import {noLoad} from './no-load.ts';
import type {OpenRequest} from './open-request.ts';
import type {Placement} from './placement.ts';
import type {PromptChooser} from './prompt-chooser.ts';
import type {RoomModel} from './room-model.ts';
import type {Selection} from './selection.ts';
import type {SelectionCriteria} from './selection-criteria.ts';
import type {StallMonitor} from './stall-monitor.ts';
import type {RequestTracker} from './request-tracker.ts';

/**
Shorter prompts are ignored, since network delay dominates their time to the first token.
*/
const minimumPrefillTokens = 1000;
/**
Tokens queued before a prompt, as a share of its own, above which it is ignored: it would show the queue, not the speed.
*/
const maximumQueuedShare = 0.2;
/**
Part of the time to the first token that is not prefill.
*/
const baseMs = 10;

/**
Shorter pauses are not caused by prefill.
*/
const minimumPauseMs = 20;

type Pause = {
	readonly pool: string;
	readonly endpoint: string;
	readonly pauseMs: number;
	/**
	Time that the endpoint needed for its pending prefill when the pause began, in milliseconds.
	*/
	readonly backlogMs: number;
};

type PrefillSample = {
	/**
	Tokens of the prompt to prefill when it was sent, and those queued before it.
	*/
	readonly uncachedTokens: number;
	readonly tokensBefore: number;
	readonly milliseconds: number;
};

/**
State of an open request.
*/
type Entry = {
	/**
	In Unix milliseconds.
	*/
	readonly openedAt: number;
	/**
	Later reports of a closed request are ignored.
	*/
	isClosed: boolean;
	handleEnd: () => void;
};

type RequestTrackerOptions = {
	readonly loads: Pick<LoadTable, 'get' | 'add' | 'recordPrefill'>;
	readonly failures: Pick<FailureTable, 'record' | 'recordRefusal' | 'recordChunk' | 'eject'>;
	readonly chooser: Pick<PromptChooser, 'recordPrefill' | 'getSpeed' | 'getPauseModel' | 'getReservation'>;
	readonly rooms: Pick<RoomModel, 'countMemory' | 'recordEnd'>;
	readonly stallMonitor: Omit<StallMonitor, 'update' | 'removeEndpoint'>;
	readonly onPlacement: (placement: Placement) => void;
	readonly onEnd?: ((request: EndedRequest) => void) | undefined;
};

/**
 Creates the tracker of a node's own requests at endpoints. It updates the load, the failures and the learned speeds and pauses.

 @example
 const tracker = createRequestTracker({loads, failures, chooser, rooms, stallMonitor, onPlacement() {}});
 const request = tracker.open(selection, criteria);
 request.markChunk();
 request.close('done');
 */
export function createRequestTracker({loads, failures, chooser, rooms, stallMonitor, onPlacement, onEnd}: RequestTrackerOptions): RequestTracker {
	// Fixed at the start, so that a change of the system time takes no request for one of an earlier process.
	const startedAt = Date.now() - performance.now();
	const openEntries = new Map<string, Set<Entry>>();
	const endHandlers: Readonly<Record<Parameters<OpenRequest['close']>[0], (id: string) => void>> = {
		done(id) {
			failures.record(id, false);
		},
		rejected(id) {
			failures.recordRefusal(id);
		},
		erred(id) {
			failures.record(id, true);
		},
		failed(id) {
			failures.record(id, true);
		},
		gone(id) {
			failures.eject(id);
		},
		cancelled() {
			// Not caused by the endpoint.
		},
	};

	function recordPrefill(pool: string, endpoint: string, {uncachedTokens, tokensBefore, milliseconds}: PrefillSample): void {
		chooser.recordPrefill(pool, uncachedTokens, milliseconds);
		if (uncachedTokens >= minimumPrefillTokens && tokensBefore <= maximumQueuedShare * uncachedTokens) {
			loads.recordPrefill(endpoint, uncachedTokens + tokensBefore, Math.max(1, milliseconds - baseMs));
		}
	}

	/**
	Records a pause only if the endpoint was prefilling during all of it: its backlog lasted as long and is not empty yet.
	*/
	function recordPause({pool, endpoint, pauseMs, backlogMs}: Pause): void {
		if (pauseMs >= minimumPauseMs && backlogMs >= pauseMs && countPendingPrefill(loads.get(endpoint)) > 0) {
			chooser.getPauseModel(pool).recordPause(pauseMs, chooser.getSpeed(pool, endpoint).factor);
		}
	}

	function measureBacklog(pool: string, endpoint: string): number {
		return countPendingPrefill(loads.get(endpoint)) / chooser.getSpeed(pool, endpoint).tokensPerMs;
	}

	function addEntry(endpoint: string): Entry {
		const entry: Entry = {
			openedAt: startedAt + performance.now(),
			isClosed: false,
			handleEnd() {
				// Replaced by `onEnded`.
			},
		};
		const entries = openEntries.get(endpoint) ?? new Set<Entry>();
		entries.add(entry);
		openEntries.set(endpoint, entries);
		return entry;
	}

	function closeEntry(endpoint: string, entry: Entry): void {
		entry.isClosed = true;
		const entries = openEntries.get(endpoint);
		entries?.delete(entry);
		if (entries?.size === 0) {
			openEntries.delete(endpoint);
		}
	}

	function removeEndpoint(endpoint: string, endedAt: number): void {
		const entries = openEntries.get(endpoint)?.values().toArray() ?? [];
		openEntries.delete(endpoint);
		for (const entry of entries) {
			entry.isClosed = true;
		}

		// Called after all entries are closed, since a handler may send its request elsewhere.
		const older = entries.filter(({openedAt}) => openedAt < endedAt);
		for (const entry of older) {
			entry.handleEnd();
		}
	}

	function openRequest(selection: Selection, criteria: SelectionCriteria): Omit<OpenRequest, 'canSend'> {
		const {endpoint: {incarnation: id}, heldTokens, urgency, costMs} = selection;
		const {pool, pauseObjectiveMs, promptTokens} = criteria;
		const uncachedTokens = Math.max(0, promptTokens - heldTokens);
		const openedAt = performance.now();
		const loadBefore = loads.get(id);
		const tokensBefore = countPendingPrefill(loadBefore);
		const isStream = promptTokens > 0 && pauseObjectiveMs > 0;
		const stallHandle = isStream ? stallMonitor.open(id, {pool, predictedMs: costMs}) : undefined;
		const sensitivity = isStream ? chooser.getPauseModel(pool).toSensitivity(pauseObjectiveMs) : 0;
		const memoryTokens = rooms.countMemory(id, criteria);
		let pendingTokens = uncachedTokens;
		let chunks = 0;
		let firstChunkAt: number | undefined;
		let lastChunkAt = 0;
		let backlogMs = 0;
		let isInTime = true;
		const entry = addEntry(id);
		const protectedStreams = isStream && chooser.getReservation(pool).isProtected(pauseObjectiveMs) ? 1 : 0;
		loads.add(id, {...toLoad(1, urgency, uncachedTokens), memoryTokens, protectedStreams});
		if (promptTokens > 0) {
			onPlacement({
				endpoint: id, pool, parts: criteria.parts.slice(0, -1).map(part => part.id), tokens: uncachedTokens,
			});
		}

		function markFirstChunk(now: number): void {
			firstChunkAt = now;
			if (pendingTokens > 0) {
				recordPrefill(pool, id, {uncachedTokens: pendingTokens, tokensBefore, milliseconds: now - openedAt});
			}

			loads.add(id, {...toLoad(0, urgency, -pendingTokens), sensitivity});
			pendingTokens = 0;
		}

		function markPause(now: number): void {
			const pauseMs = now - lastChunkAt;
			recordPause({
				pool, endpoint: id, pauseMs, backlogMs,
			});
			if (!(isInTime && pauseMs > pauseObjectiveMs)) {
				return;
			}

			// Further pauses have no effect on a stream that is already late.
			isInTime = false;
			loads.add(id, {...noLoad, sensitivity: -sensitivity});
		}

		return {
			markChunk() {
				if (entry.isClosed) {
					return;
				}

				const now = performance.now();
				chunks++;
				failures.recordChunk(id);
				if (stallHandle !== undefined) {
					stallMonitor.markChunk(id, stallHandle);
				}

				if (firstChunkAt === undefined) {
					markFirstChunk(now);
				} else if (isStream) {
					markPause(now);
				}

				lastChunkAt = now;
				backlogMs = isStream ? measureBacklog(pool, id) : 0;
			},
			markPaused() {
				if (stallHandle !== undefined && !entry.isClosed) {
					stallMonitor.markPaused(id, stallHandle);
				}
			},
			markResumed() {
				if (stallHandle !== undefined && !entry.isClosed) {
					stallMonitor.markResumed(id, stallHandle);
				}
			},
			onStalled(handler) {
				if (stallHandle !== undefined) {
					stallMonitor.setHandler(id, stallHandle, handler);
				}
			},
			onEnded(handler) {
				entry.handleEnd = handler;
			},
			close(end) {
				if (entry.isClosed) {
					return;
				}

				closeEntry(id, entry);
				if (stallHandle !== undefined) {
					stallMonitor.close(id, stallHandle);
				}

				if (firstChunkAt !== undefined && isStream) {
					chooser.getPauseModel(pool).recordStream(performance.now() - firstChunkAt);
				}

				loads.add(id, {
					...toLoad(-1, urgency, -pendingTokens), sensitivity: firstChunkAt !== undefined && isInTime ? -sensitivity : 0, memoryTokens: -memoryTokens, protectedStreams: -protectedStreams,
				});
				if (end === 'done') {
					rooms.recordEnd(criteria, {memoryTokens, chunks, milliseconds: performance.now() - openedAt});
				}

				endHandlers[end](id);
				onEnd?.({
					selection, end, elapsedMs: performance.now() - openedAt, openBefore: loadBefore.open,
				});
			},
		};
	}

	return {open: openRequest, removeEndpoint};
}

function toLoad(open: number, urgency: number, tokens: number): EndpointLoad {
	return {...noLoad, open, pendingPrefill: tokens === 0 ? [] : Array.from({length: urgency + 1}, (_value, rank) => rank === urgency ? tokens : 0)};
}

import {countUnread} from './count-unread.ts';
import type {EndpointLoad} from './endpoint-load.ts';
import type {FailureTable} from './failure-table.ts';
import type {LoadTable} from './load-table.ts';
import {noLoad} from './no-load.ts';
import type {OpenRequest} from './open-request.ts';
import type {Placement} from './placement.ts';
import type {PromptChooser} from './prompt-chooser.ts';
import type {Selection} from './selection.ts';
import type {SelectionCriteria} from './selection-criteria.ts';
import type {SilenceGuard} from './silence-guard.ts';
import type {WorkBook} from './work-book.ts';

/**
Prompts that are shorter say more about the way to the engine than about its reading, in tokens.
*/
const leastReadTokens = 1000;
/**
Prompts that were before it, as a part of a prompt's own tokens, up to which its reading says something of the endpoint.
*/
const queuedShare = 0.2;
/**
Time to the first token that is not spent reading, in milliseconds.
*/
const unreadingMs = 10;

/**
Shorter pauses say nothing of reading, in milliseconds.
*/
const leastPauseMs = 20;

type Pause = {
	readonly pool: string;
	readonly endpoint: string;
	readonly pauseMs: number;
	/**
	Time that the endpoint needed, at the beginning of the pause, to read what it had.
	*/
	readonly backlogMs: number;
};

type Reading = {
	/**
	Tokens of the prompt, and of prompts before it, that had not been read when it was sent.
	*/
	readonly unread: number;
	readonly tokensBefore: number;
	readonly milliseconds: number;
};

/**
A request that is open, as the book keeps it.
*/
type Entry = {
	/**
	In Unix milliseconds.
	*/
	readonly openedAt: number;
	/**
	Set when what the request reports counts no more.
	*/
	isClosed: boolean;
	handleEnd: () => void;
};

type WorkBookOptions = {
	readonly loads: Pick<LoadTable, 'get' | 'add' | 'recordReading'>;
	readonly failures: Pick<FailureTable, 'record' | 'recordRefusal' | 'eject'>;
	readonly chooser: Pick<PromptChooser, 'recordReading' | 'getPace' | 'getPauses'>;
	readonly guard: Omit<SilenceGuard, 'update' | 'removeEndpoint'>;
	readonly onPlacement: (placement: Placement) => void;
};

/**
 Creates the book of a node's own requests at endpoints: what they add to the load, and what they show of the endpoint.

 @example
 const book = createWorkBook({loads, failures, chooser, guard, onPlacement() {}});
 const work = book.open(selection, question);
 work.markPiece();
 work.close('done');
 */
export function createWorkBook({loads, failures, chooser, guard, onPlacement}: WorkBookOptions): WorkBook {
	const book = new Map<string, Set<Entry>>();
	const settlers: Readonly<Record<Parameters<OpenRequest['close']>[0], (id: string) => void>> = {
		done(id) {
			failures.record(id, false);
		},
		rejected(id) {
			failures.recordRefusal(id);
		},
		failed(id) {
			failures.record(id, true);
		},
		gone(id) {
			failures.eject(id);
		},
		cancelled() {
			// Says nothing about the endpoint.
		},
	};

	function recordReading(pool: string, endpoint: string, {unread, tokensBefore, milliseconds}: Reading): void {
		chooser.recordReading(pool, unread, milliseconds);
		// Behind other prompts it would show the queue, not the endpoint.
		if (unread >= leastReadTokens && tokensBefore <= queuedShare * unread) {
			loads.recordReading(endpoint, unread + tokensBefore, Math.max(1, milliseconds - unreadingMs));
		}
	}

	/**
	A pause counts when the endpoint had so much to read at its beginning that it read all the while, and still has at its end.
	*/
	function recordPause({pool, endpoint, pauseMs, backlogMs}: Pause): void {
		if (pauseMs >= leastPauseMs && backlogMs >= pauseMs && countUnread(loads.get(endpoint)) > 0) {
			chooser.getPauses(pool).recordPause(pauseMs, chooser.getPace(pool, endpoint).factor);
		}
	}

	function measureBacklog(pool: string, endpoint: string): number {
		return countUnread(loads.get(endpoint)) / chooser.getPace(pool, endpoint).tokensPerMs;
	}

	function addEntry(endpoint: string): Entry {
		const entry: Entry = {
			openedAt: Date.now(),
			isClosed: false,
			handleEnd() {
				// Nobody asked to be told.
			},
		};
		const entries = book.get(endpoint) ?? new Set<Entry>();
		entries.add(entry);
		book.set(endpoint, entries);
		return entry;
	}

	function closeEntry(endpoint: string, entry: Entry): void {
		entry.isClosed = true;
		const entries = book.get(endpoint);
		entries?.delete(entry);
		if (entries?.size === 0) {
			book.delete(endpoint);
		}
	}

	function removeEndpoint(endpoint: string, endedAt: number): void {
		const entries = book.get(endpoint)?.values().toArray() ?? [];
		book.delete(endpoint);
		for (const entry of entries) {
			entry.isClosed = true;
		}

		// A handler may open the request elsewhere, so all is forgotten before.
		const older = entries.filter(({openedAt}) => openedAt < endedAt);
		for (const entry of older) {
			entry.handleEnd();
		}
	}

	function openWork({endpoint: {incarnation: id}, heldTokens, urgency, costMs}: Selection, question: SelectionCriteria): OpenRequest {
		const {pool, pauseObjectiveMs, promptTokens} = question;
		const missing = Math.max(0, promptTokens - heldTokens);
		const openedAt = performance.now();
		const tokensBefore = countUnread(loads.get(id));
		const isStream = promptTokens > 0 && pauseObjectiveMs > 0;
		const work = isStream ? guard.open(id, {pool, predictedMs: costMs}) : undefined;
		const sensitivity = isStream ? chooser.getPauses(pool).toSensitivity(pauseObjectiveMs) : 0;
		let unread = missing;
		let begunAt: number | undefined;
		let pieceAt = 0;
		let backlogMs = 0;
		let isInTime = true;
		const entry = addEntry(id);
		loads.add(id, toLoad(1, urgency, missing));
		if (promptTokens > 0) {
			onPlacement({
				endpoint: id, pool, parts: question.parts.slice(0, -1).map(part => part.id), tokens: missing,
			});
		}

		function markBegun(now: number): void {
			begunAt = now;
			if (unread > 0) {
				recordReading(pool, id, {unread, tokensBefore, milliseconds: now - openedAt});
			}

			loads.add(id, {...toLoad(0, urgency, -unread), sensitivity});
			unread = 0;
		}

		function markPause(now: number): void {
			const pauseMs = now - pieceAt;
			recordPause({
				pool, endpoint: id, pauseMs, backlogMs,
			});
			if (!(isInTime && pauseMs > pauseObjectiveMs)) {
				return;
			}

			// Later pauses do it no more harm.
			isInTime = false;
			loads.add(id, {...noLoad, sensitivity: -sensitivity});
		}

		return {
			markChunk() {
				if (entry.isClosed) {
					return;
				}

				const now = performance.now();
				if (work !== undefined) {
					guard.markPiece(id, work);
				}

				if (begunAt === undefined) {
					markBegun(now);
				} else if (isStream) {
					markPause(now);
				}

				pieceAt = now;
				backlogMs = isStream ? measureBacklog(pool, id) : 0;
			},
			markPaused() {
				if (work !== undefined && !entry.isClosed) {
					guard.markPaused(id, work);
				}
			},
			onStalled(handler) {
				if (work !== undefined) {
					guard.setHandler(id, work, handler);
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
				if (work !== undefined) {
					guard.close(id, work);
				}

				if (begunAt !== undefined && isStream) {
					chooser.getPauses(pool).recordStream(performance.now() - begunAt);
				}

				loads.add(id, {...toLoad(-1, urgency, -unread), sensitivity: begunAt !== undefined && isInTime ? -sensitivity : 0});
				settlers[end](id);
			},
		};
	}

	return {open: openWork, removeEndpoint};
}

function toLoad(open: number, urgency: number, tokens: number): EndpointLoad {
	return {...noLoad, open, pendingPrefill: tokens === 0 ? [] : Array.from({length: urgency + 1}, (_value, rank) => rank === urgency ? tokens : 0)};
}

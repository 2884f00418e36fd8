import type {ServicePool, ServingEndpoint} from '@valvesaddle/gateway-types';
import {countUnread} from './count-unread.ts';
import {createFailureTable} from './create-failure-table.ts';
import {createLoadTable} from './create-load-table.ts';
import {createPrefixModel} from './create-prefix-model.ts';
import {createSilenceWatch} from './create-silence-watch.ts';
import {createPromptChooser} from './create-prompt-chooser.ts';
import type {EndpointLoad} from './endpoint-load.ts';
import {noLoad} from './no-load.ts';
import type {OpenWork} from './open-work.ts';
import type {Placement} from './placement.ts';
import type {Rating} from './rating.ts';
import type {Selection} from './selection.ts';
import type {SelectionQuestion} from './selection-question.ts';
import type {Selector} from './selector.ts';
import type {SelectorOptions} from './selector-options.ts';

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

/**
Silence after which an endpoint that owes pieces is taken for dark: a few times the longest pause that reading makes, within
bounds, in milliseconds.
*/
const silencePauses = 2.5;
const leastSilenceMs = 400;
const longestSilenceMs = 1000;
/**
Times the predicted time to the first piece after which it is overdue.
*/
const overdueFactor = 2;

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
 Creates the selector of a node.

 @example
 const selector = createSelector({harmWeight: 1, riskWeight: 1, reuseMs: 10_000, rereadMsPerToken: 0.3, prefillTokensPerMs: 50});
 selector.addEndpoint(endpoint);
 const selection = selector.choose({pool: 'drafting', promptTokens: 900, parts, tried: new Set()});
 */
export function createSelector(options: SelectorOptions): Selector {
	const endpoints = new Map<string, ServingEndpoint>();
	const pools = new Map<string, ServicePool>();
	const loads = createLoadTable();
	const prefixes = createPrefixModel({reuseMs: options.reuseMs});
	const failures = createFailureTable();
	const silence = createSilenceWatch();
	/**
	What is to be done for each request at an endpoint when it falls silent.
	*/
	const silentHandlers = new Map<string, Map<symbol, () => void>>();
	const chooser = createPromptChooser({settings: options, loads, prefixes});
	let unseenFactor = 1;
	let newsAt: number | undefined;
	let placements: Placement[] = [];

	function addPlacement(placement: Placement): void {
		prefixes.add(placement);
		chooser.recordDemand(placement.pool, placement.endpoint, placement.tokens);
	}

	function listReady(pool: string): readonly ServingEndpoint[] {
		return endpoints.values().filter(endpoint => endpoint.pool === pool && endpoint.state === 'ready').toArray();
	}

	/**
	The first of the lists that is not empty: each asks for less than the one before.
	*/
	function listCandidates(ready: readonly ServingEndpoint[], tried: ReadonlySet<string>): readonly ServingEndpoint[] {
		const untried = ready.filter(({id}) => !tried.has(id));
		const sound = untried.filter(({id}) => !failures.isEjected(id));
		return sound.length > 0 ? sound : untried;
	}

	function chooseByLoad(candidates: readonly ServingEndpoint[], question: SelectionQuestion): Rating | undefined {
		const rated = candidates.map(endpoint => ({
			endpoint, heldTokens: 0, costMs: (loads.get(endpoint.id).open + Math.random()) / endpoint.slots, readMs: 0, harmMs: 0, urgency: question.urgency, candidates: candidates.length,
		}));
		return rated.toSorted((a, b) => a.costMs - b.costMs)[0];
	}

	function choose(question: SelectionQuestion): Selection | undefined {
		const ready = listReady(question.pool);
		const candidates = listCandidates(ready, question.tried);
		const rating = pools.get(question.pool)?.engine === undefined
			? chooseByLoad(candidates, question)
			: chooser.choose(ready, candidates, question);
		return rating && {...rating, unseenFactor, newsAgeMs: newsAt === undefined ? -1 : Math.round(performance.now() - newsAt)};
	}

	const settlers: Readonly<Record<Parameters<OpenWork['close']>[0], (id: string) => void>> = {
		done(id) {
			failures.record(id, false);
		},
		rejected(id) {
			failures.record(id, false);
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

	function openWork({endpoint: {id}, heldTokens, urgency, costMs}: Selection, question: SelectionQuestion): OpenWork {
		const {pool, pauseObjectiveMs, promptTokens} = question;
		const missing = Math.max(0, promptTokens - heldTokens);
		const openedAt = performance.now();
		const tokensBefore = countUnread(loads.get(id));
		const isStream = promptTokens > 0 && pauseObjectiveMs > 0;
		const work = isStream ? silence.open(id, openedAt + (overdueFactor * costMs) + measureSilence(pool)) : undefined;
		const sensitivity = isStream ? chooser.getPauses(pool).toSensitivity(pauseObjectiveMs) : 0;
		let unread = missing;
		let begunAt: number | undefined;
		let pieceAt = 0;
		let backlogMs = 0;
		let isInTime = true;
		let isClosed = false;
		loads.add(id, toLoad(1, urgency, missing));
		if (promptTokens > 0) {
			const placement = {
				endpoint: id, pool, parts: question.parts.slice(0, -1).map(part => part.id), tokens: missing,
			};
			addPlacement(placement);
			placements.push(placement);
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
			markPiece() {
				if (isClosed) {
					return;
				}

				const now = performance.now();
				if (work !== undefined) {
					silence.markPiece(id, work);
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
				if (work !== undefined && !isClosed) {
					silence.markPaused(id, work);
				}
			},
			onSilent(handler) {
				if (work === undefined) {
					return;
				}

				const handlers = silentHandlers.get(id) ?? new Map<symbol, () => void>();
				handlers.set(work, handler);
				silentHandlers.set(id, handlers);
			},
			close(end) {
				if (isClosed) {
					return;
				}

				isClosed = true;
				if (work !== undefined) {
					silence.close(id, work);
					silentHandlers.get(id)?.delete(work);
				}

				if (begunAt !== undefined && isStream) {
					chooser.getPauses(pool).recordStream(performance.now() - begunAt);
				}

				loads.add(id, {...toLoad(-1, urgency, -unread), sensitivity: begunAt !== undefined && isInTime ? -sensitivity : 0});
				settlers[end](id);
			},
		};
	}

	function measureSilence(pool: string): number {
		return Math.min(longestSilenceMs, Math.max(leastSilenceMs, silencePauses * chooser.getPauses(pool).pauseMs()));
	}

	/**
	An endpoint from which no node has heard that ought to have is left, by new requests and by those that may move.
	*/
	function updateSilence(): void {
		for (const {id, pool} of endpoints.values()) {
			const isSilent = silence.isSilent(id, measureSilence(pool));
			loads.setSilence(id, isSilent === undefined ? 0 : 1, isSilent === true ? 1 : 0);
			const {witnesses, silent} = loads.get(id);
			if (silent === 0 || silent < witnesses) {
				continue;
			}

			if (!failures.isEjected(id)) {
				failures.eject(id);
			}

			const handlers = silentHandlers.get(id)?.values().toArray() ?? [];
			silentHandlers.delete(id);
			for (const handle of handlers) {
				handle();
			}
		}
	}

	return {
		addEndpoint(endpoint) {
			endpoints.set(endpoint.id, endpoint);
			prefixes.setCapacity(endpoint.id, pools.get(endpoint.pool)?.engine?.cacheTokens ?? Infinity);
		},
		removeEndpoint(id) {
			endpoints.delete(id);
			loads.removeEndpoint(id);
			prefixes.removeEndpoint(id);
			failures.removeEndpoint(id);
			silence.removeEndpoint(id);
			silentHandlers.delete(id);
			chooser.removeEndpoint(id);
		},
		setPools(newPools) {
			pools.clear();
			for (const pool of newPools) {
				pools.set(pool.name, pool);
			}

			for (const {id, pool} of endpoints.values()) {
				prefixes.setCapacity(id, pools.get(pool)?.engine?.cacheTokens ?? Infinity);
			}
		},
		choose,
		open: openWork,
		findAddress: id => endpoints.get(id)?.address,
		takeNews() {
			updateSilence();
			const news = {loads: loads.takeChanged(), placements};
			placements = [];
			return news.loads.length === 0 && news.placements.length === 0 ? undefined : news;
		},
		listOwn: () => ({loads: loads.listOwn(), placements: []}),
		applyNews(node, news) {
			newsAt = performance.now();
			for (const [endpoint, load] of news.loads) {
				loads.applyPeer(node, endpoint, load);
			}

			for (const placement of news.placements) {
				addPlacement(placement);
			}
		},
		setUnseenFactor(factor) {
			unseenFactor = factor;
			loads.setUnseenFactor(factor);
		},
		removeNode: loads.removePeer,
	};
}

function toLoad(open: number, urgency: number, tokens: number): EndpointLoad {
	return {...noLoad, open, unread: tokens === 0 ? [] : Array.from({length: urgency + 1}, (_value, rank) => rank === urgency ? tokens : 0)};
}

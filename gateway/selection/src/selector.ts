import type {AnswerFacts, ServicePool, ServingEndpoint} from '@valvesaddle/gateway-types';
import type {KnownEndpoint} from './known-endpoint.ts';
import type {LoadUpdate} from './load-update.ts';
import type {OpenRequest} from './open-request.ts';
import type {PoolLoad} from './pool-load.ts';
import type {Selection} from './selection.ts';
import type {SelectionCriteria} from './selection-criteria.ts';

/**
Chooses endpoints and keeps the books that the choice needs.
*/
export type Selector = {
	readonly addEndpoint: (endpoint: ServingEndpoint) => void;
	readonly removeEndpoint: (id: string) => void;
	/**
	Puts a new incarnation in the place of the one before under its id: whatever was kept of that is forgotten, and requests that
	were open there are told.
	*/
	readonly setIncarnation: (endpoint: ServingEndpoint) => void;
	readonly setPools: (pools: readonly ServicePool[]) => void;
	/**
	Best endpoint that is ready and was not tried; `undefined` when there is none.
	*/
	readonly choose: (question: SelectionCriteria) => Selection | undefined;
	/**
	Takes what an incarnation said of itself in an answer; no way of choosing an endpoint goes past it.
	*/
	readonly applyNotice: (incarnation: string, notice: Pick<AnswerFacts, 'retryAfterMs' | 'isLeaving'>) => void;
	/**
	Whether a chosen endpoint still takes requests: it has neither left since nor asked for none.
	*/
	readonly canTake: (endpoint: Pick<KnownEndpoint, 'id' | 'incarnation'>) => boolean;
	/**
	Milliseconds until the first endpoint of a pool that is ready takes requests again; 0 when one does now, or none is ready.
	*/
	readonly getCooldownMs: (pool: string) => number;
	/**
	Books a request at the chosen endpoint.
	*/
	readonly open: (selection: Selection, question: SelectionCriteria) => OpenRequest;
	/**
	News for peers since the last call; `undefined` when there are none.
	*/
	readonly takeLoadUpdate: () => LoadUpdate | undefined;
	/**
	The node's own work in full, for a peer that has just come.
	*/
	readonly listOwn: () => LoadUpdate;
	/**
	Takes in a peer's news; returns what of them is not of incarnations that are known to be gone.
	*/
	readonly applyLoadUpdate: (node: string, news: LoadUpdate) => LoadUpdate;
	/**
	Sets how many times the known work stands for all of it, while peers cannot be heard.
	*/
	readonly setUnseenFactor: (factor: number) => void;
	/**
	Work of a pool, of all nodes.
	*/
	readonly measurePoolLoad: (pool: string) => PoolLoad;
	readonly removeNode: (node: string) => void;
};

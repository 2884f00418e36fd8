import type {AnswerMetadata, ServicePool, ServingEndpoint} from '@valvesaddle/gateway-types';
import type {KnownEndpoint} from './known-endpoint.ts';
import type {LoadUpdate} from './load-update.ts';
import type {OpenRequest} from './open-request.ts';
import type {PoolLoad} from './pool-load.ts';
import type {Selection} from './selection.ts';
import type {SelectionCriteria} from './selection-criteria.ts';

/**
Chooses endpoints, and keeps the state that the choice depends on.
*/
export type Selector = {
	readonly addEndpoint: (endpoint: ServingEndpoint) => void;
	readonly removeEndpoint: (id: string) => void;
	/**
	Replaces an endpoint by a new incarnation under the same ID. The state of the previous one is dropped; its requests that were
	opened before the new one started get their `onEnded` handler called.
	*/
	readonly setIncarnation: (endpoint: ServingEndpoint) => void;
	readonly setPools: (pools: readonly ServicePool[]) => void;
	/**
	Sets the shortest pause objective of each pool's routes, in milliseconds.
	*/
	readonly setPauseObjectives: (objectives: ReadonlyMap<string, number>) => void;
	/**
	Best ready endpoint that was not tried; `undefined` if there is none.
	*/
	readonly choose: (criteria: SelectionCriteria) => Selection | undefined;
	/**
	Applies what an incarnation announced in the headers of an answer: a cooldown, or that it drains.
	*/
	readonly applyNotice: (incarnation: string, notice: Pick<AnswerMetadata, 'retryAfterMs' | 'isLeaving'>) => void;
	/**
	Sets the requests per second that an incarnation accepts from all nodes, or removes the limit; `false` if that changes nothing.
	*/
	readonly didSetLimit: (incarnation: string, perSecond: number | undefined) => boolean;
	/**
	Whether an incarnation is expected to serve: it is ready, and has not announced that it drains.
	*/
	readonly isServing: (incarnation: string) => boolean;
	/**
	Whether a chosen endpoint still accepts requests: it is ready, the same incarnation, and in no cooldown.
	*/
	readonly canTake: (endpoint: Pick<KnownEndpoint, 'id' | 'incarnation'>) => boolean;
	/**
	Whether a request could start at an endpoint now: one of its slots is free, and so is enough of its memory if that is predicted.
	*/
	readonly hasRoom: (endpoint: KnownEndpoint, criteria: SelectionCriteria) => boolean;
	/**
	Predicted milliseconds until an endpoint has room for a request; 0 if it has room now.
	*/
	readonly getRoomInMs: (endpoint: KnownEndpoint, criteria: SelectionCriteria) => number;
	/**
	Predicted milliseconds until some endpoint of the pool has room for a request, within the time that the criteria allow; 0 if one
	has now, `Infinity` if none is ready that was not tried.
	*/
	readonly getPoolRoomInMs: (criteria: SelectionCriteria) => number;
	/**
	Milliseconds until the first ready endpoint of a pool accepts requests again, by its cooldown and its limit; 0 if one does now,
	or none is ready.
	*/
	readonly getCooldownMs: (pool: string) => number;
	/**
	Whether a pool fails as a whole by the evidence of all nodes; `false` if they do not tell each other.
	*/
	readonly isPoolFailing: (pool: string) => boolean;
	/**
	Records that a request is sent to the chosen endpoint.
	*/
	readonly open: (selection: Selection, criteria: SelectionCriteria) => OpenRequest;
	/**
	Takes the load update for peers since the last call; `undefined` if nothing has changed. Endpoints are checked for stalls as of
	`readAt`, a time on the monotonic clock by which all that had arrived has been read; the time of the call by default.
	*/
	readonly takeLoadUpdate: (readAt?: number) => LoadUpdate | undefined;
	/**
	The node's own loads in full, for a peer that has just been linked.
	*/
	readonly listOwn: () => LoadUpdate;
	/**
	Applies a peer's load update; returns it without the rows of removed incarnations.
	*/
	readonly applyLoadUpdate: (node: string, update: LoadUpdate) => LoadUpdate;
	/**
	Sets the factor that extrapolates the known load to the whole fleet while peers are unreachable.
	*/
	readonly setUnseenFactor: (factor: number) => void;
	/**
	Load of a pool, summed over all nodes.
	*/
	readonly measurePoolLoad: (pool: string) => PoolLoad;
	readonly removeNode: (node: string) => void;
};

import type {KnownEndpoint} from './known-endpoint.ts';
import type {PauseModel} from './pause-model.ts';
import type {PoolLoad} from './pool-load.ts';
import type {Rating} from './rating.ts';
import type {SelectionCriteria} from './selection-criteria.ts';
import type {StreamReservation} from './stream-reservation.ts';

/**
Chooses among the endpoints of model engines by their cached prompts, their load, and the pauses that the prefill would cause.
*/
export type PromptChooser = {
	/**
	To be called when the ready endpoints change.
	*/
	readonly markChanged: () => void;
	/**
	Best of the candidates, which are some of the ready endpoints; `undefined` if there are none.
	*/
	readonly choose: (ready: readonly KnownEndpoint[], candidates: readonly KnownEndpoint[], criteria: SelectionCriteria) => Rating | undefined;
	/**
	Records that any node sent an endpoint a prompt of which it has to prefill this many tokens.
	*/
	readonly recordPlacement: (pool: string, endpoint: string, tokens: number) => void;
	/**
	Records that an endpoint of a pool prefilled this many tokens in this many milliseconds.
	*/
	readonly recordPrefill: (pool: string, tokens: number, milliseconds: number) => void;
	/**
	Prefill speed of an endpoint: relative to the pool's median, and in tokens per millisecond.
	*/
	readonly getSpeed: (pool: string, endpoint: string) => {readonly factor: number; readonly tokensPerMs: number};
	readonly getPauseModel: (pool: string) => PauseModel;
	/**
	Endpoints of a pool that are reserved for streams.
	*/
	readonly getReservation: (pool: string) => StreamReservation;
	/**
	Total of prompt tokens to prefill in a pool so far, and the prefill rate of a typical engine.
	*/
	readonly getPrefillRate: (pool: string) => Omit<PoolLoad, 'open'>;
	readonly removeEndpoint: (endpoint: string) => void;
};

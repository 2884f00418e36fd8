import type {KnownEndpoint} from './known-endpoint.ts';
import type {PauseModel} from './pause-model.ts';
import type {PoolLoad} from './pool-load.ts';
import type {Rating} from './rating.ts';
import type {SelectionCriteria} from './selection-criteria.ts';

/**
Chooses among model engines: by prompts that they hold, work that they have, and the pauses that reading would cause.
*/
export type PromptChooser = {
	/**
	The endpoints that serve have changed.
	*/
	readonly markChanged: () => void;
	/**
	Best of the candidates, which are some of the endpoints that are ready; `undefined` when there are none.
	*/
	readonly choose: (ready: readonly KnownEndpoint[], candidates: readonly KnownEndpoint[], question: SelectionCriteria) => Rating | undefined;
	/**
	Records tokens that an endpoint has to read for a prompt, on whichever node.
	*/
	readonly recordDemand: (pool: string, endpoint: string, tokens: number) => void;
	/**
	Records that an endpoint of a pool read so many tokens for a prompt within so many milliseconds.
	*/
	readonly recordReading: (pool: string, tokens: number, milliseconds: number) => void;
	/**
	Pace of an endpoint against the pool's median, and tokens that it reads in a millisecond.
	*/
	readonly getPace: (pool: string, endpoint: string) => {readonly factor: number; readonly tokensPerMs: number};
	readonly getPauses: (pool: string) => PauseModel;
	/**
	Tokens of prompts that were placed in a pool so far, and what a usual engine of it reads in a millisecond.
	*/
	readonly getReading: (pool: string) => Omit<PoolLoad, 'open'>;
	readonly removeEndpoint: (endpoint: string) => void;
};

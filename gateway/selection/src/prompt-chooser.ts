import type {ServingEndpoint} from '@valvesaddle/gateway-types';
import type {Rating} from './rating.ts';
import type {SelectionQuestion} from './selection-question.ts';

/**
Chooses among model engines: by prompts that they hold, work that they have, and lanes for long and short prompts.
*/
export type PromptChooser = {
	/**
	Best of the candidates, which are some of the endpoints that are ready; `undefined` when there are none.
	*/
	readonly choose: (ready: readonly ServingEndpoint[], candidates: readonly ServingEndpoint[], question: SelectionQuestion) => Rating | undefined;
	/**
	Records tokens that have to be read for a prompt, on whichever node.
	*/
	readonly recordDemand: (pool: string, isLong: boolean, tokens: number) => void;
	/**
	Records that an endpoint of a pool read so many tokens for a prompt within so many milliseconds.
	*/
	readonly recordReading: (pool: string, tokens: number, milliseconds: number) => void;
};

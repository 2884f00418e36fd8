import type {OpenRequest} from './open-request.ts';
import type {Selection} from './selection.ts';

/**
A request that has ended at an endpoint.
*/
export type EndedRequest = {
	readonly selection: Selection;
	readonly end: Parameters<OpenRequest['close']>[0];
	readonly elapsedMs: number;
	/**
	Requests of all nodes that were open there when it was sent.
	*/
	readonly openBefore: number;
};

import type {OpenRequest} from './open-request.ts';
import type {Selection} from './selection.ts';
import type {SelectionCriteria} from './selection-criteria.ts';

/**
Tracks a node's own requests at endpoints.
*/
export type RequestTracker = {
	/**
	Records that a request is sent to the chosen endpoint.
	*/
	readonly open: (selection: Selection, criteria: SelectionCriteria) => Omit<OpenRequest, 'canSend'>;
	/**
	Drops the requests at an endpoint, whose later reports are ignored. Those opened before `endedAt`, in Unix milliseconds, get
	their `onEnded` handler called.
	*/
	readonly removeEndpoint: (endpoint: string, endedAt: number) => void;
};

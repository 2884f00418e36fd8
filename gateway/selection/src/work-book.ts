import type {OpenRequest} from './open-request.ts';
import type {Selection} from './selection.ts';
import type {SelectionCriteria} from './selection-criteria.ts';

/**
A node's own requests at endpoints.
*/
export type WorkBook = {
	/**
	Books a request at the chosen endpoint.
	*/
	readonly open: (selection: Selection, question: SelectionCriteria) => OpenRequest;
	/**
	Forgets the requests at an endpoint: what they still report counts nowhere. Those that were opened before `endedAt`, in Unix
	milliseconds, are told that their process has ended.
	*/
	readonly removeEndpoint: (endpoint: string, endedAt: number) => void;
};

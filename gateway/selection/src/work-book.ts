import type {OpenWork} from './open-work.ts';
import type {Selection} from './selection.ts';
import type {SelectionQuestion} from './selection-question.ts';

/**
A node's own requests at endpoints.
*/
export type WorkBook = {
	/**
	Books a request at the chosen endpoint.
	*/
	readonly open: (selection: Selection, question: SelectionQuestion) => OpenWork;
};

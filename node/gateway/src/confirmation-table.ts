import type {Confirmation} from './confirmation.ts';

/**
Keeps the most recent confirmation of the store, whichever peer forwarded it.
*/
export type ConfirmationTable = {
	/**
	Records that this node is connected to the store itself.
	*/
	readonly confirm: () => void;
	/**
	Records a confirmation that a peer forwarded, and its age in milliseconds.
	*/
	readonly record: (confirmation: Confirmation, ageMs: number) => void;
	/**
	Age of the latest confirmation, in milliseconds.
	*/
	readonly measureAge: () => number;
	/**
	The latest confirmation; `undefined` while there is none.
	*/
	readonly latest: () => Confirmation | undefined;
};

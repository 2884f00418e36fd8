import type {Confirmation} from './confirmation.ts';

/**
Keeps which word of the store is the youngest, whoever passed it on.
*/
export type ConfirmationTable = {
	/**
	This node is in touch with the store itself.
	*/
	readonly confirm: () => void;
	/**
	Takes in a word that a peer has passed on, and how old it is, in milliseconds.
	*/
	readonly record: (confirmation: Confirmation, ageMs: number) => void;
	/**
	Age of the youngest word, in milliseconds.
	*/
	readonly measureAge: () => number;
	/**
	The youngest word; `undefined` while there is none.
	*/
	readonly latest: () => Confirmation | undefined;
};

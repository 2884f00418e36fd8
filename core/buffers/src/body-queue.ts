import type {WaitingBody} from './waiting-body.ts';

/**
Bodies that wait for room.
*/
export type BodyQueue = {
	/**
	Adds a body; returns a function that ends its wait. A body for which the queue is full is refused at once.
	*/
	readonly add: (body: WaitingBody) => () => void;
	/**
	Holds the bodies for which there is room now.
	*/
	readonly drain: () => void;
	readonly count: () => number;
};

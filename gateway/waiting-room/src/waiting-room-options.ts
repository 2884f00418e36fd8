import type {Logger} from '@valvesaddle/logger';
import type {Metrics} from '@valvesaddle/metrics';
import type {Turns} from './turns.ts';

/**
Options of `createWaitingRoom`.
*/
export type WaitingRoomOptions = {
	/**
	Most requests that wait, and most bytes of their bodies.
	*/
	readonly most: number;
	readonly mostBytes: number;
	/**
	Time after which a refused caller comes back, as a multiple of the time until there is predicted to be room.
	*/
	readonly returnFactor: number;
	readonly turns: Turns;
	readonly logger: Logger;
	readonly metrics: Metrics;
};

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
	readonly turns: Turns;
	readonly logger: Logger;
	readonly metrics: Metrics;
};

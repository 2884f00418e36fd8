import type {MemoryRoom} from '@valvesaddle/room';
import type {EndpointLoad} from './endpoint-load.ts';
import type {Rating} from './rating.ts';
import type {SelectionCriteria} from './selection-criteria.ts';

type RoomInput = {
	readonly criteria: Pick<SelectionCriteria, 'isMostUrgent'>;
	readonly load: Pick<EndpointLoad, 'open' | 'memoryTokens'>;
	/**
	Speed at which the endpoint would read again what it preempts.
	*/
	readonly tokensPerMs: number;
};

type RoomCost = Pick<Rating, 'memoryTokens' | 'roomInMs'> & {
	/**
	Part of the time to the first token that is the wait for memory, in milliseconds.
	*/
	readonly costMs: number;
	/**
	Delay of others, in milliseconds: reading again what is preempted, and for an endpoint without room more than any other cost,
	so that it is chosen only if no other has room.
	*/
	readonly penaltyMs: number;
};

/**
More than the other costs of an endpoint together.
*/
const withoutRoomMs = 1e9;

/**
 Measures what the memory of an endpoint adds to its cost. Less urgent requests yield to the most urgent class, so that it does not
 wait for memory, but it goes first where there is room.

 @example
 measureRoom(undefined, {criteria, load, tokensPerMs: 40}).costMs; // 0
 */
export function measureRoom(room: MemoryRoom | undefined, {criteria: {isMostUrgent = false}, load, tokensPerMs}: RoomInput): RoomCost {
	if (room === undefined || room.overflowTokens === 0) {
		return {
			costMs: 0, penaltyMs: 0, memoryTokens: room?.peakTokens ?? 0, roomInMs: 0,
		};
	}

	// Requests are preempted as a whole.
	const meanTokens = Math.max(1, load.memoryTokens / Math.max(1, load.open));
	const rereadTokens = Math.min(load.memoryTokens, Math.ceil(room.overflowTokens / meanTokens) * meanTokens);
	return {
		costMs: isMostUrgent ? 0 : room.waitMs,
		penaltyMs: withoutRoomMs + (rereadTokens / tokensPerMs),
		memoryTokens: room.peakTokens,
		roomInMs: room.waitMs,
	};
}

import type {BufferLimits} from './buffer-limits.ts';

type ReadAheadQuestion = Pick<BufferLimits, 'aheadBytes' | 'unreadMs'> & {
	/**
	Bytes of the answer that wait for the caller.
	*/
	readonly unsentBytes: number;
	/**
	How long the endpoint has been paused, in milliseconds; 0 while it is read.
	*/
	readonly pausedMs: number;
	/**
	Whether the client account may hold as much more.
	*/
	readonly hasRoom: boolean;
};

/**
 Decides whether an endpoint is read although the caller does not keep up. Answers the load of slow callers whose answers occupy
 endpoints: a part is read ahead so that the endpoint can finish, and another one whenever it has been paused so long that it would
 soon give up an answer that nobody reads. An account without room is left paused.

 @example
 decideReadAhead({aheadBytes: 65_536, unreadMs: 1000, unsentBytes: 70_000, pausedMs: 1000, hasRoom: true}); // 'read'
 */
export function decideReadAhead({aheadBytes, unreadMs, unsentBytes, pausedMs, hasRoom}: ReadAheadQuestion): 'read' | 'pause' {
	return hasRoom && aheadBytes > 0 && (unsentBytes < aheadBytes || pausedMs >= unreadMs) ? 'read' : 'pause';
}

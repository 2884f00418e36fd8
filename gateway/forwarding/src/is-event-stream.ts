import type {AnswerMetadata, RouteKind} from '@valvesaddle/gateway-types';

/**
 Whether a success is a stream of events. On a streaming route every success is one, whatever media type the endpoint states; on
 other routes the media type says so.

 @example
 isEventStream('stream', {isEventStream: false}); // true
 */
export function isEventStream(routeKind: RouteKind, metadata: Pick<AnswerMetadata, 'isEventStream'>): boolean {
	return routeKind === 'stream' || metadata.isEventStream;
}

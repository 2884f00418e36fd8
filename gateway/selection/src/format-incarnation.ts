import type {ServingEndpoint} from '@valvesaddle/gateway-types';

const separator = '~';
/**
Base of the time in a name: news of work carry a name for each endpoint, so it is short.
*/
const base = 36;

/**
 Names the incarnation of an endpoint: its id, and when its process started where that is known.

 @example
 formatIncarnation({id: 'i-7f', born: 1_790_000_000_000}); // 'i-7f~mubbs7i8'
 formatIncarnation({id: 'i-7f'}); // 'i-7f'
 */
export function formatIncarnation({id, born}: Pick<ServingEndpoint, 'id' | 'born'>): string {
	return born === undefined ? id : `${id}${separator}${born.toString(base)}`;
}

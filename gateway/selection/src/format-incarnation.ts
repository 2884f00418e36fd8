import type {ServingEndpoint} from '@valvesaddle/gateway-types';

const separator = '~';
/**
Base of the start time; IDs are kept short because each row of a load update carries one.
*/
const base = 36;

/**
 Formats the ID of an endpoint's incarnation: the endpoint's ID and, if known, when its process started.

 @example
 formatIncarnation({id: 'i-7f', born: 1_790_000_000_000}); // 'i-7f~mubbs7i8'
 formatIncarnation({id: 'i-7f'}); // 'i-7f'
 */
export function formatIncarnation({id, born}: Pick<ServingEndpoint, 'id' | 'born'>): string {
	return born === undefined ? id : `${id}${separator}${born.toString(base)}`;
}

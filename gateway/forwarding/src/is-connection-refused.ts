import type {ValvesaddleError} from '@valvesaddle/error';

/**
 Whether no process listens at an endpoint's address.

 @example
 isConnectionRefused(error); // true for ECONNREFUSED
 */
export function isConnectionRefused({cause}: Pick<ValvesaddleError, 'cause'>): boolean {
	return cause instanceof Error && 'code' in cause && cause.code === 'ECONNREFUSED';
}

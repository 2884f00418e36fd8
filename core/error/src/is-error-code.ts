import type {ErrorCode} from './error-code.ts';
import {errorTable} from './error-table.ts';

/**
 Tells whether a string is one of the project's error codes.

 @example
 isErrorCode('ERR_VALVESADDLE_OVERLOADED'); // true
 */
export function isErrorCode(value: string): value is ErrorCode {
	return Object.hasOwn(errorTable, value);
}

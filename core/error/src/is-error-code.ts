import type {ErrorCode} from './error-code.ts';
import {errorTable} from './error-table.ts';

/**
 Checks whether a string is an error code of the project.

 @example
 isErrorCode('ERR_VALVESADDLE_OVERLOADED'); // true
 */
export function isErrorCode(value: string): value is ErrorCode {
	return Object.hasOwn(errorTable, value);
}

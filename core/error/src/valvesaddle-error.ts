import type {ErrorCode} from './error-code.ts';
import type {ErrorOptions} from './error-options.ts';
import type {ErrorTraits} from './error-traits.ts';
import {errorTable} from './error-table.ts';

/**
 Error type of the project; its code determines status, retryability and hint.

 @example
 throw new ValvesaddleError('ERR_VALVESADDLE_UNKNOWN_MODEL', 'no pool serves "permit-draft"');
 */
export class ValvesaddleError extends Error {
	override readonly name = 'ValvesaddleError';
	readonly code: ErrorCode;
	readonly retryAfterMs: number | undefined;

	constructor(code: ErrorCode, message: string, options: ErrorOptions = {}) {
		super(message, {cause: options.cause});
		this.code = code;
		this.retryAfterMs = options.retryAfterMs;
	}

	get traits(): ErrorTraits {
		return errorTable[this.code];
	}
}

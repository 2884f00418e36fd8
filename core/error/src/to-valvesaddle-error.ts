import {ValvesaddleError} from './valvesaddle-error.ts';

/**
 Converts any thrown value to a {@link ValvesaddleError}; an unknown error becomes `ERR_VALVESADDLE_INTERNAL`.

 @example
 toValvesaddleError(new TypeError('x is undefined')).code; // 'ERR_VALVESADDLE_INTERNAL'
 */
export function toValvesaddleError(thrown: unknown): ValvesaddleError {
	if (thrown instanceof ValvesaddleError) {
		return thrown;
	}

	const message = thrown instanceof Error ? thrown.message : String(thrown);
	return new ValvesaddleError('ERR_VALVESADDLE_INTERNAL', message, {cause: thrown});
}

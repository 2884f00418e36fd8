import type {Result} from 'neverthrow';
import type {ValvesaddleError} from './valvesaddle-error.ts';

/**
 Returns the value of a result, or throws its error.

 @throws The result's error.
 @example
 const entry = unwrapResult(await kv.get('key'));
 */
export function unwrapResult<Value>(result: Result<Value, ValvesaddleError>): Value {
	if (result.isErr()) {
		throw result.error;
	}

	return result.value;
}

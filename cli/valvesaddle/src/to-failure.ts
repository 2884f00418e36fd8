import {toValvesaddleError} from '@valvesaddle/error';
import {exitCodes} from './exit-codes.ts';

type Failure = {
	/**
	Code, message and hint, with a final newline.
	*/
	readonly text: string;
	readonly exitCode: number;
};

/**
 Formats a command's error with code and hint instead of a stack trace.

 @example
 toFailure(new ValvesaddleError('ERR_VALVESADDLE_SETTINGS_INVALID', 'no file')).exitCode; // 2
 */
export function toFailure(error: unknown): Failure {
	const failure = toValvesaddleError(error);
	return {
		text: `${failure.code}: ${failure.message}\nHint: ${failure.traits.hint}\n`,
		exitCode: failure.traits.status < 500 ? exitCodes.invalid : exitCodes.failed,
	};
}

import {err, ok, type Result} from 'neverthrow';
import {parse, TomlError} from 'smol-toml';
import {ValvesaddleError} from '@valvesaddle/error';

/**
 Parses TOML. The error contains the line and column of the syntax error.

 @example
 parseToml('a = 1')._unsafeUnwrap(); // {a: 1}
 */
export function parseToml(text: string): Result<unknown, ValvesaddleError> {
	try {
		return ok(parse(text));
	} catch (error) {
		const where = error instanceof TomlError ? `line ${error.line}, column ${error.column}: ` : '';
		const reason = error instanceof Error ? error.message.split('\n', 1)[0] : String(error);
		return err(new ValvesaddleError('ERR_VALVESADDLE_SETTINGS_INVALID', `${where}${reason}`, {cause: error}));
	}
}

import {err, ok, type Result} from 'neverthrow';
import {ValvesaddleError} from '@valvesaddle/error';
import type {Configuration} from '@valvesaddle/types';
import {configurationSchema} from './configuration-schema.ts';
import {findReferenceErrors} from './find-reference-errors.ts';

const mostFaultsNamed = 20;

/**
 Checks a configuration whole and fills in defaults. The error names every fault with its place.

 @example
 validateConfiguration({classes: [], accounts: [], pools: [], endpoints: [], bindings: []}).isOk(); // true
 */
export function validateConfiguration(input: unknown): Result<Configuration, ValvesaddleError> {
	const parsed = configurationSchema.safeParse(input);
	if (!parsed.success) {
		return toFaultError(parsed.error.issues.map(issue => `${issue.path.join('.')}: ${issue.message}`));
	}

	const faults = findReferenceErrors(parsed.data);
	return faults.length > 0 ? toFaultError(faults) : ok(parsed.data);
}

function toFaultError(faults: readonly string[]): Result<Configuration, ValvesaddleError> {
	const named = faults.slice(0, mostFaultsNamed);
	const rest = faults.length - named.length;
	const lines = rest > 0 ? [...named, `and ${rest} more`] : named;
	return err(new ValvesaddleError('ERR_VALVESADDLE_CONFIGURATION_INVALID', lines.join('\n')));
}

import type {Result} from 'neverthrow';
import type {ValvesaddleError} from '@valvesaddle/error';
import {parseToml, validateTable} from '@valvesaddle/settings';
import type {Experiment} from './experiment.ts';
import {experimentSchema} from './experiment-schema.ts';

/**
 Reads the text of an experiment's file. The error names every fault with its key and line.

 @example
 parseExperiment('load = "none"').isErr(); // true
 */
export function parseExperiment(text: string): Result<Experiment, ValvesaddleError> {
	return parseToml(text).andThen(table => validateTable(experimentSchema, table, text));
}

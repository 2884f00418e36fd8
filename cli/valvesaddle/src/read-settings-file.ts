import {readFile} from 'node:fs/promises';
import {unwrapResult, ValvesaddleError} from '@valvesaddle/error';
import {parseSettings, type Settings} from '@valvesaddle/settings';

/**
 Reads and checks a settings file.

 @throws `ERR_VALVESADDLE_SETTINGS_INVALID` that names every fault.
 @example
 const settings = await readSettingsFile('node.toml');
 */
export async function readSettingsFile(path: string): Promise<Settings> {
	let text: string;
	try {
		text = await readFile(path, 'utf8');
	} catch (error) {
		throw new ValvesaddleError('ERR_VALVESADDLE_SETTINGS_INVALID', `the file "${path}" cannot be read`, {cause: error});
	}

	return unwrapResult(parseSettings(text));
}

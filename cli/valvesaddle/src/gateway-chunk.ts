import process from 'node:process';
import * as z from 'zod';
import {toFailure} from './to-failure.ts';
import {findSettingsFile} from './find-settings-file.ts';
import {runGateway} from './run-gateway.ts';

/**
 Runs a gateway node from its plain words, without the parser of commands: what a node on the platform loads.

 @example
 await run(['gateway', '--settings', 'gateway.toml']);
 */
export async function run(words: readonly string[]): Promise<number> {
	// A reader that has seen enough, such as `head`, is no failure.
	process.stdout.on('error', () => {
		process.exit();
	});
	// A node checks few settings and entries: compiling a check for each form would cost its start more than that ever saves.
	z.config({jitless: true});
	try {
		return await runGateway(findSettingsFile(words) ?? process.env.VALVESADDLE_SETTINGS);
	} catch (error) {
		const {text, exitCode} = toFailure(error);
		process.stderr.write(text);
		return exitCode;
	}
}

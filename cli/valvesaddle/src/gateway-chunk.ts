import process from 'node:process';
import * as z from 'zod';
import {toFailure} from './to-failure.ts';
import {findSettingsFile} from './find-settings-file.ts';
import {runGateway} from './run-gateway.ts';

/**
 Runs a gateway node without the command parser.

 @example
 await run(['gateway', '--settings', 'gateway.toml']);
 */
export async function run(argv: readonly string[]): Promise<number> {
	// A closed pipe, such as of `head`, is no failure.
	process.stdout.on('error', () => {
		process.exit();
	});
	// A node validates few settings and entries, so compiling the schemas would cost more startup time than it saves.
	z.config({jitless: true});
	try {
		return await runGateway(findSettingsFile(argv) ?? process.env.VALVESADDLE_SETTINGS);
	} catch (error) {
		const {text, exitCode} = toFailure(error);
		process.stderr.write(text);
		return exitCode;
	}
}

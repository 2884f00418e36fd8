import {mainCommands} from './main-commands.ts';
import {runCommands} from './run-commands.ts';

/**
 Runs any command.

 @example
 await run(['status', '--node', '127.0.0.1:7400']);
 */
export async function run(argv: readonly string[]): Promise<number> {
	return runCommands(mainCommands, argv);
}

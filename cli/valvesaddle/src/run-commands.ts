import process from 'node:process';
import {Cli, type CommandClass} from 'clipanion';

/**
 Runs the command that the arguments name; resolves to the exit code.

 @example
 await runCommands([GatewayCommand], ['gateway', '--settings', 'gateway.toml']);
 */
export async function runCommands(commands: readonly CommandClass[], argv: readonly string[]): Promise<number> {
	// A closed pipe, such as of `head`, is no failure.
	process.stdout.on('error', () => {
		process.exit();
	});
	const cli = new Cli({binaryLabel: 'valvesaddle', binaryName: 'valvesaddle', binaryVersion: '0.1.0'});
	for (const command of commands) {
		cli.register(command);
	}

	return cli.run([...argv]);
}

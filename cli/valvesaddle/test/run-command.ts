import {Readable, Writable} from 'node:stream';
import {Cli, type CommandClass} from 'clipanion';

/**
Output and exit code of a command.
*/
export type CommandResult = {
	readonly code: number;
	readonly stdout: string;
	readonly stderr: string;
};

type Sink = {
	readonly stream: Writable;
	readonly read: () => string;
};

/**
 Runs one command with the given arguments and standard input.

 @example
 const {code} = await runCommand(HashKeyCommand, ['hash-key'], 'secret');
 */
export async function runCommand(command: CommandClass, argv: readonly string[], input = ''): Promise<CommandResult> {
	const cli = new Cli();
	cli.register(command);
	const stdout = createSink();
	const stderr = createSink();
	const code = await cli.run([...argv], {
		stdin: Readable.from([input]), stdout: stdout.stream, stderr: stderr.stream, env: {},
	});
	return {code, stdout: stdout.read(), stderr: stderr.read()};
}

function createSink(): Sink {
	let text = '';
	const stream = new Writable({
		write(chunk, _encoding, done) {
			text += String(chunk);
			done();
		},
	});
	return {stream, read: () => text};
}

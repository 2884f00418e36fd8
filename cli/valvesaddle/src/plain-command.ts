import {Command} from 'clipanion';
import {toFailure} from './to-failure.ts';

/**
A command that prints errors with code and hint instead of a stack trace.
*/
export abstract class PlainCommand extends Command {
	abstract run(): Promise<number>;

	async execute(): Promise<number> {
		try {
			return await this.run();
		} catch (error) {
			return this.fail(error);
		}
	}

	protected fail(error: unknown): number {
		const {text, exitCode} = toFailure(error);
		this.context.stderr.write(text);
		return exitCode;
	}

	protected print(text: string): void {
		this.context.stdout.write(`${text}\n`);
	}
}

import {Command} from 'clipanion';
import {toValvesaddleError} from '@valvesaddle/error';
import {exitCodes} from './exit-codes.ts';

/**
A command that prints failures with their code and hint instead of a stack.
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
		const failure = toValvesaddleError(error);
		this.context.stderr.write(`${failure.code}: ${failure.message}\nHint: ${failure.traits.hint}\n`);
		return failure.traits.status < 500 ? exitCodes.invalid : exitCodes.failed;
	}

	protected print(text: string): void {
		this.context.stdout.write(`${text}\n`);
	}
}

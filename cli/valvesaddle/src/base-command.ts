import {ConnectError, Code} from '@connectrpc/connect';
import {Command} from 'clipanion';
import {toValvesaddleError} from '@valvesaddle/error';
import {exitCodes} from './exit-codes.ts';

const connectExitCodes: Readonly<Partial<Record<Code, number>>> = {
	[Code.InvalidArgument]: exitCodes.invalid,
	[Code.Aborted]: exitCodes.conflict,
	[Code.Unknown]: exitCodes.unknown,
};

/**
A command that prints failures with their code and hint instead of a stack.
*/
export abstract class BaseCommand extends Command {
	abstract run(): Promise<number>;

	async execute(): Promise<number> {
		try {
			return await this.run();
		} catch (error) {
			if (error instanceof ConnectError) {
				this.context.stderr.write(`${error.rawMessage}\n`);
				return connectExitCodes[error.code] ?? exitCodes.failed;
			}

			const failure = toValvesaddleError(error);
			this.context.stderr.write(`${failure.code}: ${failure.message}\nHint: ${failure.traits.hint}\n`);
			return failure.traits.status < 500 ? exitCodes.invalid : exitCodes.failed;
		}
	}

	protected print(text: string): void {
		this.context.stdout.write(`${text}\n`);
	}
}

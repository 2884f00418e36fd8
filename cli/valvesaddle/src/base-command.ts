import {Code, ConnectError} from '@connectrpc/connect';
import {exitCodes} from './exit-codes.ts';
import {PlainCommand} from './plain-command.ts';

const connectExitCodes: Readonly<Partial<Record<Code, number>>> = {
	[Code.InvalidArgument]: exitCodes.invalid,
	[Code.Aborted]: exitCodes.conflict,
	[Code.Unknown]: exitCodes.unknown,
};

/**
A command that may call a node as an operator.
*/
export abstract class BaseCommand extends PlainCommand {
	protected override fail(error: unknown): number {
		if (error instanceof ConnectError) {
			this.context.stderr.write(`${error.rawMessage}\n`);
			return connectExitCodes[error.code] ?? exitCodes.failed;
		}

		return super.fail(error);
	}
}

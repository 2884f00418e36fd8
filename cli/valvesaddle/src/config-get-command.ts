import {Command, Option} from 'clipanion';
import {exitCodes} from './exit-codes.ts';
import {formatConfiguration} from './format-configuration.ts';
import {OperatorCommand} from './operator-command.ts';

/**
`valvesaddle config get`: prints a configuration.
*/
export class ConfigGetCommand extends OperatorCommand {
	static override readonly paths = [['config', 'get']];
	static override readonly usage = Command.Usage({
		category: 'Operators',
		description: 'Prints the configuration in force, or an earlier revision.',
		examples: [['Save it', 'valvesaddle config get > configuration.json'], ['An earlier one', 'valvesaddle config get --revision 7']],
	});

	revision = Option.String('--revision');

	async run(): Promise<number> {
		const client = this.connect();
		const reply = this.revision === undefined ? await client.getConfiguration({}) : await client.getRevision({revision: Number(this.revision)});
		this.context.stderr.write(`revision ${reply.revision}, change ${reply.changeId}, by ${reply.author}\n`);
		this.print(formatConfiguration(reply.configuration));
		return exitCodes.done;
	}
}

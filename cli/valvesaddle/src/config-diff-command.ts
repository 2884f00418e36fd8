import {Command, Option} from 'clipanion';
import {exitCodes} from './exit-codes.ts';
import {OperatorCommand} from './operator-command.ts';
import {readConfigurationFile} from './read-configuration-file.ts';

/**
`valvesaddle config diff`: compares a file with the active configuration.
*/
export class ConfigDiffCommand extends OperatorCommand {
	static override readonly paths = [['config', 'diff']];
	static override readonly usage = Command.Usage({
		category: 'Operators',
		description: 'Shows what applying a file would change.',
		examples: [['Compare', 'valvesaddle config diff configuration.json']],
	});

	file = Option.String();

	async run(): Promise<number> {
		const client = this.connect();
		const {revision} = await client.getConfiguration({});
		const reply = await client.applyConfiguration({
			changeId: 'diff', expectedRevision: revision, configuration: await readConfigurationFile(this.file), dryRun: true,
		});
		for (const line of reply.differences) {
			this.print(line);
		}

		return exitCodes.done;
	}
}

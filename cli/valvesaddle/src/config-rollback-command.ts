import {Command, Option} from 'clipanion';
import {exitCodes} from './exit-codes.ts';
import {OperatorCommand} from './operator-command.ts';

/**
`valvesaddle config rollback`: applies an earlier revision as a new one.
*/
export class ConfigRollbackCommand extends OperatorCommand {
	static override readonly paths = [['config', 'rollback']];
	static override readonly usage = Command.Usage({
		category: 'Operators',
		description: 'Applies the configuration of an earlier revision as a new revision.',
		examples: [['Back to revision 7', 'valvesaddle config rollback 7']],
	});

	revision = Option.String();

	async run(): Promise<number> {
		const client = this.connect();
		const {revision: expectedRevision} = await client.getConfiguration({});
		const {configuration} = await client.getRevision({revision: Number(this.revision)});
		if (configuration === undefined) {
			this.context.stderr.write(`revision ${this.revision} holds no configuration\n`);
			return exitCodes.invalid;
		}

		const reply = await client.applyConfiguration({changeId: `rollback-to-${this.revision}-from-${expectedRevision}`, expectedRevision, configuration});
		this.print(`accepted at revision ${reply.revision}`);
		return exitCodes.done;
	}
}

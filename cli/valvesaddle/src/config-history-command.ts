import {Command, Option} from 'clipanion';
import {exitCodes} from './exit-codes.ts';
import {OperatorCommand} from './operator-command.ts';

/**
`valvesaddle config history`: lists the last revisions.
*/
export class ConfigHistoryCommand extends OperatorCommand {
	static override readonly paths = [['config', 'history']];
	static override readonly usage = Command.Usage({
		category: 'Operators',
		description: 'Lists the last revisions, newest first.',
		examples: [['The last five', 'valvesaddle config history --last 5']],
	});

	last = Option.String('--last', '10');

	async run(): Promise<number> {
		const client = this.connect();
		const {revision: newest} = await client.getConfiguration({});
		const oldest = Math.max(1, newest - Number(this.last) + 1);
		for (let revision = newest; revision >= oldest; revision--) {
			// eslint-disable-next-line no-await-in-loop -- printed in order
			const reply = await client.getRevision({revision});
			this.print(`${reply.revision}  ${reply.changeId}  ${reply.author}`);
		}

		return exitCodes.done;
	}
}

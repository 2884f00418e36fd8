import {randomUUID} from 'node:crypto';
import {Command, Option} from 'clipanion';
import {exitCodes} from './exit-codes.ts';
import {OperatorCommand} from './operator-command.ts';
import {readConfigurationFile} from './read-configuration-file.ts';

/**
`valvesaddle config apply`: changes the configuration.
*/
export class ConfigApplyCommand extends OperatorCommand {
	static override readonly paths = [['config', 'apply']];
	static override readonly usage = Command.Usage({
		category: 'Operators',
		description: 'Accepts a whole configuration, if no other change came in between.',
		details: 'Exit codes: 0 accepted, 2 invalid, 3 conflict, 4 unknown (apply again with the same --change).',
		examples: [
			['See what would change', 'valvesaddle config apply --dry-run configuration.json'],
			['Apply against revision 7', 'valvesaddle config apply --expect 7 --change raise-floor configuration.json'],
		],
	});

	file = Option.String();
	expect = Option.String('--expect', {description: 'Revision that the change was made against; the newest by default'});
	change = Option.String('--change', {description: 'Unique id of the change; a random one by default'});
	dryRun = Option.Boolean('--dry-run', false);

	async run(): Promise<number> {
		const client = this.connect();
		const configuration = await readConfigurationFile(this.file);
		const {revision} = await client.getConfiguration({});
		const expectedRevision = this.expect === undefined ? revision : Number(this.expect);
		const changeId = this.change ?? randomUUID();
		this.context.stderr.write(`change ${changeId}\n`);
		const reply = await client.applyConfiguration({
			changeId, expectedRevision, configuration, dryRun: this.dryRun,
		});
		for (const line of reply.differences) {
			this.print(line);
		}

		this.print(this.dryRun ? `would be revision ${reply.revision}` : `accepted at revision ${reply.revision}`);
		return exitCodes.done;
	}
}

import {readFile} from 'node:fs/promises';
import {Command, Option} from 'clipanion';
import {unwrapResult} from '@valvesaddle/error';
import {parseGatewaySettings} from '@valvesaddle/settings';
import {BaseCommand} from './base-command.ts';
import {exitCodes} from './exit-codes.ts';
import {readSettingsFile} from './read-settings-file.ts';

/**
`valvesaddle check-settings`: checks a settings file.
*/
export class CheckSettingsCommand extends BaseCommand {
	static override readonly paths = [['check-settings']];
	static override readonly usage = Command.Usage({
		description: 'Checks a settings file and names every fault with its key and line.',
		examples: [
			['Check a file', 'valvesaddle check-settings node.toml'],
			['Print it with all defaults', 'valvesaddle check-settings --print node.toml'],
			['Check a gateway node\'s file', 'valvesaddle check-settings --gateway gateway.toml'],
		],
	});

	file = Option.String();
	printAll = Option.Boolean('--print', false, {description: 'Print the settings with all defaults'});
	isGateway = Option.Boolean('--gateway', false, {description: 'The file is a gateway node\'s'});

	async run(): Promise<number> {
		const settings = this.isGateway
			? unwrapResult(parseGatewaySettings(await readFile(this.file, 'utf8')))
			: await readSettingsFile(this.file);
		this.print(this.printAll ? JSON.stringify(settings, undefined, 2) : `${this.file} is valid`);
		return exitCodes.done;
	}
}

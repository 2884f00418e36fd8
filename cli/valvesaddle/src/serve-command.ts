import {Command, Option} from 'clipanion';
import {createRouter} from '@valvesaddle/router';
import {BaseCommand} from './base-command.ts';
import {exitCodes} from './exit-codes.ts';
import {readSettingsFile} from './read-settings-file.ts';
import {runUntilSignal} from './run-until-signal.ts';

/**
`valvesaddle serve`: runs a router node until SIGTERM or SIGINT.
*/
export class ServeCommand extends BaseCommand {
	static override readonly paths = [['serve']];
	static override readonly usage = Command.Usage({
		description: 'Runs a router node.',
		details: 'SIGTERM begins a graceful shutdown: no new duties, open requests run to their end, exit code 0.',
		examples: [['Run a node', 'valvesaddle serve --settings node.toml']],
	});

	settings = Option.String('--settings', {required: true, description: 'Settings file in TOML'});

	async run(): Promise<number> {
		const settings = await readSettingsFile(this.settings);
		const drained = Promise.withResolvers<void>();
		const router = createRouter({settings, onDrained: drained.resolve});
		// A node that is told to leave while it starts does so once it has started.
		const signal = runUntilSignal();
		const addresses = await router.start();
		this.print(JSON.stringify(addresses));
		await Promise.race([signal, drained.promise]);
		await router.drain();
		return exitCodes.done;
	}
}

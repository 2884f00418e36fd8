import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {Command, Option} from 'clipanion';
import {unwrapResult, ValvesaddleError} from '@valvesaddle/error';
import {createGateway} from '@valvesaddle/gateway';
import {parseGatewaySettings, type GatewaySettings} from '@valvesaddle/settings';
import {exitCodes} from './exit-codes.ts';
import {PlainCommand} from './plain-command.ts';
import {runUntilSignal} from './run-until-signal.ts';

/**
`valvesaddle gateway`: runs a gateway node until it is told to leave.
*/
export class GatewayCommand extends PlainCommand {
	static override readonly paths = [['gateway']];
	static override readonly usage = Command.Usage({
		description: 'Runs a gateway node on the platform.',
		details: 'SIGTERM begins a graceful shutdown, SIGHUP reads the settings anew. Exit code 0 after a shutdown.',
		examples: [['Run a node', 'valvesaddle gateway --settings gateway.toml']],
	});

	settings = Option.String('--settings', {env: 'VALVESADDLE_SETTINGS', description: 'Settings file in TOML'});

	async #readSettings(): Promise<GatewaySettings> {
		if (this.settings === undefined) {
			throw new ValvesaddleError('ERR_VALVESADDLE_SETTINGS_INVALID', 'no settings file is named: pass --settings or set VALVESADDLE_SETTINGS');
		}

		return unwrapResult(parseGatewaySettings(await readFile(this.settings, 'utf8')));
	}

	async run(): Promise<number> {
		const gateway = createGateway({settings: await this.#readSettings()});
		process.on('SIGHUP', () => {
			this.#readSettings().then(gateway.reload).catch(gateway.rejectReload);
		});
		await gateway.start();
		await runUntilSignal();
		await gateway.drain();
		return exitCodes.done;
	}
}

import {Command, Option} from 'clipanion';
import {PlainCommand} from './plain-command.ts';
import {runGateway} from './run-gateway.ts';

/**
`valvesaddle gateway`: runs a gateway node until SIGTERM or SIGINT.
*/
export class GatewayCommand extends PlainCommand {
	static override readonly paths = [['gateway']];
	static override readonly usage = Command.Usage({
		description: 'Runs a gateway node on the platform.',
		details: 'SIGTERM begins a graceful shutdown, SIGHUP reloads the settings. Exit code 0 after a shutdown.',
		examples: [['Run a node', 'valvesaddle gateway --settings gateway.toml']],
	});

	settings = Option.String('--settings', {env: 'VALVESADDLE_SETTINGS', description: 'Settings file in TOML'});

	async run(): Promise<number> {
		return runGateway(this.settings);
	}
}

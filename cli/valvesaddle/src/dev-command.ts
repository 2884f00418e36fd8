import {Command, Option} from 'clipanion';
import {fleetKeys, startFleet, type Fleet} from '@valvesaddle/fake-fleet';
import {BaseCommand} from './base-command.ts';
import {exitCodes} from './exit-codes.ts';
import {runUntilSignal} from './run-until-signal.ts';
import {sendChat} from './send-chat.ts';

/**
`valvesaddle dev`: runs a fleet in one process, for development.
*/
export class DevCommand extends BaseCommand {
	static override readonly paths = [['dev']];
	static override readonly usage = Command.Usage({
		description: 'Runs router nodes with stand-ins for everything around them, in one process.',
		examples: [
			['Try it out', 'valvesaddle dev'],
			['Send one request and exit', 'valvesaddle dev --once'],
		],
	});

	nodes = Option.String('--nodes', '3', {description: 'Router nodes'});
	engines = Option.String('--engines', '2', {description: 'Model engines'});
	once = Option.Boolean('--once', false, {description: 'Send one request, print its answer and trace, and exit'});

	/**
	Sends one request and prints the spans of its hops.
	*/
	private async sendOnce({nodes}: Fleet): Promise<void> {
		// The first node dispatches the pool, so that a request through the last one crosses nodes.
		await sendChat({
			url: `http://${nodes.at(-1)?.callers}`,
			key: fleetKeys.caller,
			model: 'drafting',
			text: 'Check load 7 against its ticket.',
			tokens: 12,
			write: text => {
				this.context.stdout.write(text);
			},
		});
		this.print('');
		for (const {id, router} of nodes) {
			for (const hop of router.tracing.finished()) {
				this.print(`trace ${hop.traceId.slice(0, 8)}  node ${id}  ${hop.name.padEnd(16)} ${hop.durationMs.toFixed(1)} ms`);
			}
		}
	}

	private async waitForSignal({nodes, engines}: Fleet): Promise<void> {
		const [first] = nodes;
		const body = JSON.stringify({model: 'drafting', stream: true, messages: [{role: 'user', content: 'Is box 7 cleared?'}]});
		this.print(`${nodes.length} nodes, ${engines.length} engines; operators: http://${first?.operators} (token ${fleetKeys.editor})`);
		this.print(`curl -N http://${first?.callers}/v1/chat/completions -H 'authorization: Bearer ${fleetKeys.caller}' -d '${body}'`);
		await runUntilSignal();
	}

	async run(): Promise<number> {
		const engines = Array.from({length: Number(this.engines)}, () => ({}));
		const fleet = await startFleet({nodes: Number(this.nodes), engines});
		await (this.once ? this.sendOnce(fleet) : this.waitForSignal(fleet));
		await fleet.close();
		return exitCodes.done;
	}
}

import {Command, Option} from 'clipanion';
import {fleetKeys, startFleet} from '@valvesaddle/fake-fleet';
import {BaseCommand} from './base-command.ts';
import {exitCodes} from './exit-codes.ts';
import {runUntilSignal} from './run-until-signal.ts';
import {sendChat} from './send-chat.ts';

/**
`valvesaddle dev`: a whole fleet in one process, to try things out.
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

	async run(): Promise<number> {
		const fleet = await startFleet({nodes: Number(this.nodes), engines: Array.from({length: Number(this.engines)}, () => ({}))});
		const [first] = fleet.nodes;
		const url = `http://${first?.callers}`;
		if (this.once) {
			await sendChat({
				url, key: fleetKeys.caller, model: 'drafting', text: 'Check load 7 against its ticket.', tokens: 12, write: text => {
					this.context.stdout.write(text);
				},
			});
			this.print('');
			for (const {id, router} of fleet.nodes) {
				for (const hop of router.tracing.finished()) {
					this.print(`${hop.traceId.slice(0, 8)} ${id} ${hop.name.padEnd(16)} ${hop.durationMs.toFixed(1)} ms`);
				}
			}
		} else {
			this.print(`${fleet.nodes.length} nodes, ${fleet.engines.length} engines; operators: http://${first?.operators} (token ${fleetKeys.editor})`);
			this.print(`curl -N ${url}/v1/chat/completions -H 'authorization: Bearer ${fleetKeys.caller}' -d '{"model":"drafting","stream":true,"messages":[{"role":"user","content":"Is box 7 cleared?"}]}'`);
			await runUntilSignal();
		}

		await fleet.close();
		return exitCodes.done;
	}
}

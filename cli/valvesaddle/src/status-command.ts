import {Command} from 'clipanion';
import {exitCodes} from './exit-codes.ts';
import {OperatorCommand} from './operator-command.ts';

/**
`valvesaddle status`: shows the state of a node.
*/
export class StatusCommand extends OperatorCommand {
	static override readonly paths = [['status']];
	static override readonly usage = Command.Usage({
		category: 'Operators',
		description: 'Shows what a node sees: its state, members, and the pools that it dispatches.',
		examples: [['Ask a node', 'valvesaddle status --node http://127.0.0.1:7300']],
	});

	async run(): Promise<number> {
		const status = await this.connect().getStatus({});
		this.print(`node ${status.node}: ${status.state}, revision ${status.revision}, ${status.openRequests} requests open`);
		this.print(`members: ${status.members.join(' ')}`);
		for (const pool of status.pools) {
			this.print(`pool ${pool.pool}: ${pool.waiting} waiting, ${pool.inFlight} in flight`);
			for (const endpoint of pool.endpoints) {
				this.print(`  ${endpoint.id.padEnd(20)} ${endpoint.state.padEnd(8)} ${endpoint.inFlight}/${endpoint.limit.toFixed(1)} ${endpoint.interTokenMs.toFixed(1)} ms a token`);
			}
		}

		return exitCodes.done;
	}
}

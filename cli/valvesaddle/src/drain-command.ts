import {Command} from 'clipanion';
import {exitCodes} from './exit-codes.ts';
import {OperatorCommand} from './operator-command.ts';

/**
`valvesaddle drain`: begins a graceful shutdown of a node.
*/
export class DrainCommand extends OperatorCommand {
	static override readonly paths = [['drain']];
	static override readonly usage = Command.Usage({
		category: 'Operators',
		description: 'Begins a graceful shutdown of the node that takes the call.',
		examples: [['Drain a node', 'valvesaddle drain --node http://127.0.0.1:7300']],
	});

	async run(): Promise<number> {
		const {openRequests} = await this.connect().drainNode({});
		this.print(`draining; ${openRequests} requests open`);
		return exitCodes.done;
	}
}

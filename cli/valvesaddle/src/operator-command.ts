import type {Client} from '@connectrpc/connect';
import {Option} from 'clipanion';
import {createOperatorClient} from '@valvesaddle/operator-client';
import type {OperatorService} from '@valvesaddle/operator-schema';
import {BaseCommand} from './base-command.ts';

/**
A command that calls a node as an operator.
*/
export abstract class OperatorCommand extends BaseCommand {
	node = Option.String('--node', 'http://127.0.0.1:7300', {description: 'Operators\' address of any node'});
	token = Option.String('--token', {required: true, env: 'VALVESADDLE_TOKEN', description: 'Operator token'});

	protected connect(): Client<typeof OperatorService> {
		return createOperatorClient({url: this.node, token: this.token});
	}
}

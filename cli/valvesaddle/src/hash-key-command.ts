import {text as readText} from 'node:stream/consumers';
import {Command} from 'clipanion';
import {hashKey} from '@valvesaddle/access';
import {BaseCommand} from './base-command.ts';
import {exitCodes} from './exit-codes.ts';

/**
`valvesaddle hash-key`: prints the hash of a key or token.
*/
export class HashKeyCommand extends BaseCommand {
	static override readonly paths = [['hash-key']];
	static override readonly usage = Command.Usage({
		description: 'Reads a key or token from standard input and prints the hash that the configuration or settings keep.',
		examples: [['Hash a key', 'printf %s "$KEY" | valvesaddle hash-key']],
	});

	async run(): Promise<number> {
		const key = await readText(this.context.stdin);
		this.print(hashKey(key.trim()));
		return exitCodes.done;
	}
}

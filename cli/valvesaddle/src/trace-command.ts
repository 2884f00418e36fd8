import {readFile} from 'node:fs/promises';
import {Command, Option} from 'clipanion';
import {ValvesaddleError} from '@valvesaddle/error';
import {exitCodes} from './exit-codes.ts';
import {listRequestLines} from './list-request-lines.ts';
import {PlainCommand} from './plain-command.ts';

/**
`valvesaddle trace`: prints the log lines of one request from several nodes.
*/
export class TraceCommand extends PlainCommand {
	static override readonly paths = [['trace']];
	static override readonly usage = Command.Usage({
		description: 'Prints all log lines about a request, from several nodes, in order of time.',
		examples: [['Follow a request', 'valvesaddle trace 9c41d07be2a35f68 node-a.log node-b.log']],
	});

	request = Option.String();
	files = Option.Rest({required: 1});

	async #readLog(file: string): Promise<string> {
		try {
			return await readFile(file, 'utf8');
		} catch (error) {
			throw new ValvesaddleError('ERR_VALVESADDLE_SETTINGS_INVALID', `the file "${file}" cannot be read`, {cause: error});
		}
	}

	async run(): Promise<number> {
		const texts = await Promise.all(this.files.map(async file => this.#readLog(file)));
		const lines = listRequestLines(this.request, texts);
		for (const line of lines) {
			this.print(line);
		}

		return lines.length === 0 ? exitCodes.failed : exitCodes.done;
	}
}

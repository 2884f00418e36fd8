import {Command, Option} from 'clipanion';
import {BaseCommand} from './base-command.ts';
import {exitCodes} from './exit-codes.ts';
import {sendChat} from './send-chat.ts';

/**
`valvesaddle send`: sends a chat completion and prints the stream.
*/
export class SendCommand extends BaseCommand {
	static override readonly paths = [['send']];
	static override readonly usage = Command.Usage({
		description: 'Sends a chat completion and shows the answer as it comes; takes up a broken connection again.',
		examples: [['Ask', 'valvesaddle send --url http://127.0.0.1:7100 --key demo-caller-key --model drafting "Is box 7 cleared?"']],
	});

	text = Option.String();
	url = Option.String('--url', 'http://127.0.0.1:7100', {description: 'Callers\' address of a node or balancer'});
	key = Option.String('--key', {required: true, env: 'VALVESADDLE_KEY', description: 'API key'});
	model = Option.String('--model', {required: true});
	className = Option.String('--class', {description: 'Class; may only lower the default'});
	tokens = Option.String('--tokens', {description: 'Most tokens of the answer'});
	idempotencyKey = Option.String('--idempotency-key', {description: 'Runs the request at most once'});

	async run(): Promise<number> {
		await sendChat({
			url: this.url,
			key: this.key,
			model: this.model,
			text: this.text,
			className: this.className,
			tokens: this.tokens === undefined ? undefined : Number(this.tokens),
			idempotencyKey: this.idempotencyKey,
			write: text => {
				this.context.stdout.write(text);
			},
		});
		this.print('');
		return exitCodes.done;
	}
}

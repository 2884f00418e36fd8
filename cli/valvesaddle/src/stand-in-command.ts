import {Command, Option} from 'clipanion';
import {ValvesaddleError} from '@valvesaddle/error';
import {startFakeEngine} from '@valvesaddle/fake-engine';
import type {FakeServer} from '@valvesaddle/fake-http';
import {startFakeKv} from '@valvesaddle/fake-kv';
import {startFakeService} from '@valvesaddle/fake-service';
import {startFakeVmList} from '@valvesaddle/fake-vm-list';
import {BaseCommand} from './base-command.ts';
import {exitCodes} from './exit-codes.ts';
import {runUntilSignal} from './run-until-signal.ts';

type ListenAddress = {
	readonly host: string;
	readonly port: number;
};

const starters: Readonly<Record<string, (address: ListenAddress) => Promise<FakeServer>>> = {
	kv: startFakeKv,
	'vm-list': startFakeVmList,
	engine: startFakeEngine,
	service: startFakeService,
};

/**
`valvesaddle stand-in`: runs a fake of an external service as a process.
*/
export class StandInCommand extends BaseCommand {
	static override readonly paths = [['stand-in']];
	static override readonly usage = Command.Usage({
		description: 'Runs a stand-in for something around the router: kv, vm-list, engine or service.',
		examples: [['A key-value service', 'valvesaddle stand-in kv --port 8500'], ['An engine', 'valvesaddle stand-in engine --port 8000']],
	});

	kind = Option.String();
	host = Option.String('--host', '127.0.0.1');
	port = Option.String('--port', '0');

	async run(): Promise<number> {
		const start = starters[this.kind];
		if (start === undefined) {
			throw new ValvesaddleError('ERR_VALVESADDLE_SETTINGS_INVALID', `there is no stand-in "${this.kind}"; choose one of ${Object.keys(starters).join(', ')}`);
		}

		const server = await start({host: this.host, port: Number(this.port)});
		this.print(server.url);
		await runUntilSignal();
		await server.close();
		return exitCodes.done;
	}
}

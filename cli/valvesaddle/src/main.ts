import process from 'node:process';
import {Cli, type CommandClass} from 'clipanion';

// A reader that has seen enough, such as `head`, is no failure.
process.stdout.on('error', () => {
	process.exit();
});

type Load = () => Promise<readonly CommandClass[]>;

/**
A gateway node loads only what it runs: memory and start-up time count on small machines.
*/
const smallCommands: Readonly<Record<string, Load>> = {
	async gateway() {
		const module = await import('./gateway-command.ts');
		return [module.GatewayCommand];
	},
};

async function listAllCommands(): Promise<readonly CommandClass[]> {
	const {mainCommands} = await import('./main-commands.ts');
	return mainCommands;
}

async function runCommand(words: readonly string[]): Promise<number> {
	const load = smallCommands[words[0] ?? ''] ?? listAllCommands;
	const cli = new Cli({binaryLabel: 'valvesaddle', binaryName: 'valvesaddle', binaryVersion: '0.1.0'});
	for (const command of await load()) {
		cli.register(command);
	}

	return cli.run([...words]);
}

// The one binary is built from a CommonJS bundle, which knows no await at the top.
void runCommand(process.argv.slice(2)).then(code => {
	process.exit(code);
});

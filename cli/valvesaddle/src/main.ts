import process from 'node:process';
import {Builtins, Cli} from 'clipanion';
import {CheckSettingsCommand} from './check-settings-command.ts';
import {ConfigApplyCommand} from './config-apply-command.ts';
import {ConfigDiffCommand} from './config-diff-command.ts';
import {ConfigGetCommand} from './config-get-command.ts';
import {ConfigHistoryCommand} from './config-history-command.ts';
import {ConfigRollbackCommand} from './config-rollback-command.ts';
import {DevCommand} from './dev-command.ts';
import {DrainCommand} from './drain-command.ts';
import {HashKeyCommand} from './hash-key-command.ts';
import {SendCommand} from './send-command.ts';
import {ServeCommand} from './serve-command.ts';
import {StandInCommand} from './stand-in-command.ts';
import {StatusCommand} from './status-command.ts';

// A reader that has seen enough, such as `head`, is no failure.
process.stdout.on('error', () => {
	process.exit();
});

const cli = new Cli({binaryLabel: 'valvesaddle', binaryName: 'valvesaddle', binaryVersion: '0.1.0'});
const commands = [
	CheckSettingsCommand,
	ConfigApplyCommand,
	ConfigDiffCommand,
	ConfigGetCommand,
	ConfigHistoryCommand,
	ConfigRollbackCommand,
	DevCommand,
	DrainCommand,
	HashKeyCommand,
	SendCommand,
	ServeCommand,
	StandInCommand,
	StatusCommand,
	Builtins.HelpCommand,
	Builtins.VersionCommand,
];
for (const command of commands) {
	cli.register(command);
}

// The one binary is built from a CommonJS bundle, which knows no await at the top.

void cli.run(process.argv.slice(2)).then(code => {
	process.exit(code);
});

import {Builtins, type CommandClass} from 'clipanion';
import {CheckSettingsCommand} from './check-settings-command.ts';
import {ConfigApplyCommand} from './config-apply-command.ts';
import {ConfigDiffCommand} from './config-diff-command.ts';
import {ConfigGetCommand} from './config-get-command.ts';
import {ConfigHistoryCommand} from './config-history-command.ts';
import {ConfigRollbackCommand} from './config-rollback-command.ts';
import {DevCommand} from './dev-command.ts';
import {DrainCommand} from './drain-command.ts';
import {GatewayCommand} from './gateway-command.ts';
import {HashKeyCommand} from './hash-key-command.ts';
import {SendCommand} from './send-command.ts';
import {ServeCommand} from './serve-command.ts';
import {StandInCommand} from './stand-in-command.ts';
import {StatusCommand} from './status-command.ts';
import {TraceCommand} from './trace-command.ts';

/**
All commands.
*/
export const mainCommands: readonly CommandClass[] = [
	CheckSettingsCommand,
	ConfigApplyCommand,
	ConfigDiffCommand,
	ConfigGetCommand,
	ConfigHistoryCommand,
	ConfigRollbackCommand,
	DevCommand,
	DrainCommand,
	GatewayCommand,
	HashKeyCommand,
	SendCommand,
	ServeCommand,
	StandInCommand,
	StatusCommand,
	TraceCommand,
	Builtins.HelpCommand,
	Builtins.VersionCommand,
];

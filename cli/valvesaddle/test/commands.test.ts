import {writeFile} from 'node:fs/promises';
import path from 'node:path';
import {test, type Test} from 'tap';
import {
	fleetKeys,
	startFleet,
	waitUntil,
	type Fleet,
} from '@valvesaddle/fake-fleet';
import {CheckSettingsCommand} from '../src/check-settings-command.ts';
import {ConfigApplyCommand} from '../src/config-apply-command.ts';
import {ConfigDiffCommand} from '../src/config-diff-command.ts';
import {ConfigGetCommand} from '../src/config-get-command.ts';
import {ConfigHistoryCommand} from '../src/config-history-command.ts';
import {ConfigRollbackCommand} from '../src/config-rollback-command.ts';
import {DrainCommand} from '../src/drain-command.ts';
import {HashKeyCommand} from '../src/hash-key-command.ts';
import {SendCommand} from '../src/send-command.ts';
import {StandInCommand} from '../src/stand-in-command.ts';
import {StatusCommand} from '../src/status-command.ts';
import {runCommand} from './run-command.ts';

async function start(t: Test): Promise<Fleet & {readonly operator: readonly string[]}> {
	const fleet = await startFleet({nodes: 1, engines: [{stepMs: 1}]});
	t.teardown(fleet.close);
	return {...fleet, operator: ['--node', `http://${fleet.nodes[0]!.operators}`, '--token', fleetKeys.editor]};
}

test('check-settings reports every error and exits with 2', async t => {
	const folder = t.testdir({
		'good.toml': '[node]\nid = "a1"\ndata_centre = "d"\nregion = "r"\n[peer]\ntoken = "0123456789abcdef"\n[platform]\nkv_urls = ["http://10.0.0.9:8500"]\n',
		'bad.toml': '[node]\nid = "A"\n',
	});
	const good = await runCommand(CheckSettingsCommand, ['check-settings', path.join(folder, 'good.toml')]);
	t.match(good, {code: 0, stdout: /is valid/v});
	const bad = await runCommand(CheckSettingsCommand, ['check-settings', path.join(folder, 'bad.toml')]);
	t.match(bad, {code: 2, stderr: /node\.id \(line 2\)[\s\S]*peer[\s\S]*Hint: /v});
	const missing = await runCommand(CheckSettingsCommand, ['check-settings', path.join(folder, 'none.toml')]);
	t.match(missing, {code: 2, stderr: /cannot be read/v});
});

test('hash-key prints the SHA-256 of its input', async t => {
	const {stdout} = await runCommand(HashKeyCommand, ['hash-key'], 'secret\n');
	t.equal(stdout, '2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b\n');
});

test('a configuration is read, changed, compared, listed and rolled back from the command line', async t => {
	const {operator} = await start(t);
	const {stdout} = await runCommand(ConfigGetCommand, ['config', 'get', ...operator]);
	const configuration = JSON.parse(stdout) as {accounts: Array<{name: string; weight: number}>};
	configuration.accounts[0]!.weight = 7;
	const file = path.join(t.testdir(), 'configuration.json');
	await writeFile(file, JSON.stringify(configuration));
	t.match(await runCommand(ConfigDiffCommand, ['config', 'diff', file, ...operator]), {code: 0, stdout: '~ accounts sawmill\n'});
	t.match(await runCommand(ConfigApplyCommand, ['config', 'apply', '--dry-run', file, ...operator]), {code: 0, stdout: /would be revision 2/v});
	t.match(await runCommand(ConfigApplyCommand, ['config', 'apply', '--expect', '1', '--change', 'weight', file, ...operator]), {code: 0, stdout: /accepted at revision 2/v});
	t.match(await runCommand(ConfigApplyCommand, ['config', 'apply', '--expect', '1', '--change', 'other', file, ...operator]), {code: 3, stderr: /ERR_VALVESADDLE_CONFIGURATION_CONFLICT/v});
	t.match(await runCommand(ConfigRollbackCommand, ['config', 'rollback', '1', ...operator]), {code: 0, stdout: /accepted at revision 3/v});
	const history = await runCommand(ConfigHistoryCommand, ['config', 'history', '--last', '2', ...operator]);
	t.same(history.stdout.split('\n').map(line => line.split(' ', 1)[0]), ['3', '2', '']);
	const first = await runCommand(ConfigGetCommand, ['config', 'get', '--revision', '1', ...operator]);
	t.equal(first.stdout, stdout);
});

test('an invalid configuration file is refused with exit code 2 and changes nothing', async t => {
	const {operator, nodes} = await start(t);
	const folder = t.testdir({'form.json': '{"clases": []}', 'faults.json': '{"endpoints": [{"id": "e1", "pool": "none", "url": "http://10.0.0.1"}]}'});
	for (const name of ['form.json', 'faults.json']) {
		// eslint-disable-next-line no-await-in-loop -- one after the other
		const result = await runCommand(ConfigApplyCommand, ['config', 'apply', path.join(folder, name), ...operator]);
		t.match(result, {code: 2, stderr: /ERR_VALVESADDLE_CONFIGURATION_INVALID/v}, name);
	}

	t.equal(nodes[0]!.router.status().revision, 1);
});

test('status shows the node and its pools, send prints the answer, drain shuts the node down', async t => {
	const {operator, nodes} = await start(t);
	const sent = await runCommand(SendCommand, ['send', '--url', `http://${nodes[0]!.callers}`, '--key', fleetKeys.caller, '--model', 'drafting', '--tokens', '3', 'Is box 7 cleared?']);
	t.match(sent, {code: 0, stdout: 't0 t1 t2 \n'});
	t.match(await runCommand(StatusCommand, ['status', ...operator]), {code: 0, stdout: /node n1: ready, revision 1[\s\S]*pool drafting[\s\S]*engine-1/v});
	t.match(await runCommand(DrainCommand, ['drain', ...operator]), {code: 0, stdout: /draining; 0 requests open/v});
	await waitUntil(() => nodes[0]!.router.status().state === 'draining');
});

test('a refusal and an unknown stand-in are printed with code and hint', async t => {
	const {nodes} = await start(t);
	const refused = await runCommand(SendCommand, ['send', '--url', `http://${nodes[0]!.callers}`, '--key', 'wrong', '--model', 'drafting', 'x']);
	t.match(refused, {code: 2, stderr: /ERR_VALVESADDLE_UNAUTHENTICATED[\s\S]*Hint: /v});
	t.match(await runCommand(StandInCommand, ['stand-in', 'mainframe']), {code: 2, stderr: /choose one of kv, vm-list, engine, service/v});
});

import {readFile} from 'node:fs/promises';
import path from 'node:path';
import {test} from 'tap';
import {parseGatewaySettings} from '@valvesaddle/settings';

const template = path.resolve(import.meta.dirname, '../../../deploy/settings.toml');

const values: Readonly<Record<string, string>> = {
	'node-name': 'n1', zone: 'a', region: 'r', 'listen.front': '10.0.0.1:1', 'listen.ready': '10.0.0.1:2', ip: '10.0.0.1', 'internal-port-range.0': '7340', 'platform.address': '10.0.0.2:3', 'bounds.retry-budget-ratio': '0.2', 'bounds.budget-slack': '56', 'bounds.budget-window-s': '7.5', 'bounds.reuse-window-s': '10', 'bounds.grace-s': '8', 'limits.cpu-share': '0.675', 'limits.cores': '2',
};

/**
Renders the template like the platform: a section without a value is left out.
*/
function fillTemplate(text: string, given: Readonly<Record<string, string>>): string {
	const fields = new Map(Object.entries(given));
	return text
		.replaceAll(/\{\{#(?<name>[\w\-.]+)\}\}(?<inner>.*?)\{\{\/\k<name>\}\}/gsv, (_section, name: string, inner: string) => fields.has(name) ? inner : '')
		.replaceAll(/\{\{(?<name>[\w\-.]+)\}\}/gv, (_field, name: string) => fields.get(name) ?? '');
}

test('the rendered deployment template is a valid settings file', async t => {
	const settings = parseGatewaySettings(fillTemplate(await readFile(template, 'utf8'), values))._unsafeUnwrap();
	t.match(settings, {
		node: {name: 'n1', cpu_share: 0.675, core_speed: 2}, listen: {peers: '10.0.0.1:7340'}, retry: {ratio: 0.2, slack: 56, window_s: 7.5}, drain: {grace_s: 8}, selection: {reuse_s: 10, memory_room: true},
	});
});

test('every invalid key is listed', t => {
	const error = parseGatewaySettings('[node]\nname = "n1"\n[retry]\nratio = -1\nunknown = 2\n')._unsafeUnwrapErr();
	t.equal(error.code, 'ERR_VALVESADDLE_SETTINGS_INVALID');
	for (const key of ['node.data_centre', 'listen', 'store', 'retry.ratio (line 4)', 'retry.unknown (line 5)']) {
		t.match(error.message, key);
	}

	t.end();
});

test('a deployment without bounds gets the defaults', async t => {
	const fields = Object.fromEntries(Object.entries(values).filter(([name]) => !name.startsWith('bounds.')));
	const settings = parseGatewaySettings(fillTemplate(await readFile(template, 'utf8'), fields))._unsafeUnwrap();
	t.match(settings, {
		retry: {ratio: 0.1, slack: 10, window_s: 10}, drain: {grace_s: 8}, selection: {reuse_s: 10, memory_room: true},
	});
});

test('default lease times keep a node registered through a store outage and detect it within seconds', async t => {
	const {store} = parseGatewaySettings(fillTemplate(await readFile(template, 'utf8'), values))._unsafeUnwrap();
	t.ok(store.lease_ms >= 20_000);
	t.ok(store.renew_ms <= 2000);
});

test('held bytes are bounded where the platform states the memory of a VM, and only there', async t => {
	const text = await readFile(template, 'utf8');
	t.equal(parseGatewaySettings(fillTemplate(text, values))._unsafeUnwrap().buffers, undefined);
	const {buffers} = parseGatewaySettings(fillTemplate(text, {...values, 'limits.memory-mb': '350'}))._unsafeUnwrap();
	t.match(buffers, {memory_mb: 350});
	t.ok(buffers!.most_share < 0.5);
});

test('pools are not shared unless the settings say so', async t => {
	const text = fillTemplate(await readFile(template, 'utf8'), values).replace(/\[sharing\][^\[]*/v, '');
	t.same(parseGatewaySettings(text)._unsafeUnwrap().sharing, {enabled: false, window_s: 4});
	t.match(parseGatewaySettings(`${text}\n[sharing]\nenabled = true\nwindow_s = 0\n`)._unsafeUnwrapErr().message, 'sharing.window_s');
});

test('requests wait at the nodes only where the settings say so; the deployment does not', async t => {
	const rendered = fillTemplate(await readFile(template, 'utf8'), values);
	t.match(parseGatewaySettings(rendered)._unsafeUnwrap().waiting, {enabled: false, most: 1000, most_mb: 32});
	t.match(parseGatewaySettings(`${rendered}\n[waiting]\nenabled = true\n`)._unsafeUnwrap().waiting, {enabled: true, most: 1000, most_mb: 32});
	t.equal(parseGatewaySettings(`${rendered}\n[waiting]\nmost = 0\n`)._unsafeUnwrapErr().code, 'ERR_VALVESADDLE_SETTINGS_INVALID');
});

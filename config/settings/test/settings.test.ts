import fc from 'fast-check';
import {test} from 'tap';
import {parseSettings} from '@valvesaddle/settings';

const validSettings = `
[node]
id = "a1"
data_centre = "plovdiv-a"
region = "bg-south"

[peer]
token = "0123456789abcdef"

[platform]
kv_urls = ["http://10.0.0.9:8500"]
`;

test('missing keys get defaults', t => {
	const settings = parseSettings(validSettings)._unsafeUnwrap();
	t.equal(settings.node.id, 'a1');
	t.equal(settings.listen.callers, '127.0.0.1:7100');
	t.equal(settings.dispatch.mode, 'pool');
	t.end();
});

const invalidCases: ReadonlyArray<readonly [string, string, string]> = [
	['invalid TOML', `${validSettings}\n[[`, 'line 13'],
	['an invalid value', validSettings.replace('id = "a1"', 'id = "A 1"'), 'node.id (line 3): expected 1 to 63'],
	['an unknown key', `${validSettings}\n[limits]\nbody_byte = 5`, 'limits.body_byte (line 14)'],
	['a host name instead of an IP address', `${validSettings}\n[listen]\ncallers = "localhost:80"`, 'listen.callers (line 14): expected an IP address'],
	['a short secret', validSettings.replace('0123456789abcdef', 'short'), 'peer.token (line 8)'],
	['a missing table', '', 'node'],
];

for (const [name, text, words] of invalidCases) {
	test(`${name} is reported with its key and line`, t => {
		const result = parseSettings(text);
		t.equal(result.isErr() && result.error.code, 'ERR_VALVESADDLE_SETTINGS_INVALID');
		t.match(result.isErr() && result.error.message, words);
		t.end();
	});
}

test('all errors of a file are reported together', t => {
	const result = parseSettings('[node]\nid = "A"\n[peer]\ntoken = "x"');
	const message = result.isErr() ? result.error.message : '';
	for (const key of ['node.id', 'node.data_centre', 'peer.token', 'platform']) {
		t.match(message, key);
	}

	t.end();
});

test('any text is either accepted or rejected with a typed error', t => {
	fc.assert(fc.property(fc.string(), text => {
		const result = parseSettings(text);
		return result.isOk() || result.error.code === 'ERR_VALVESADDLE_SETTINGS_INVALID';
	}));
	t.end();
});

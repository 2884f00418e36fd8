import fc from 'fast-check';
import {test} from 'tap';
import type {Configuration} from '@valvesaddle/types';
import {
	compareConfigurations,
	emptyConfiguration,
	formatRecord,
	parseRecord,
	validateConfiguration,
} from '@valvesaddle/config-schema';

const requestClass = {
	name: 'gate', priority: 0, urgent: true, firstTokenTargetMs: 1000, maximumWaitMs: 2000, weight: 1, floor: 0,
};
const configuration: Configuration = {
	classes: [requestClass],
	accounts: [{
		name: 'sawmill', keyHashes: ['a'.repeat(64)], weight: 1, maximumOpen: 0,
	}],
	pools: [{
		name: 'drafting', kind: 'engine', model: 'drafting', region: 'r1', repeatable: true, interTokenTargetMs: 52, dispatchers: 1,
	}],
	endpoints: [{
		id: 'e1', pool: 'drafting', url: 'http://10.0.0.1:8000', dataCentre: 'dc-1', initialLimit: 8, leaving: false,
	}],
	bindings: [{account: 'sawmill', pool: 'drafting', classes: ['gate']}],
};

test('a valid configuration is accepted unchanged', t => {
	t.same(validateConfiguration(configuration)._unsafeUnwrap(), configuration);
	t.same(validateConfiguration({})._unsafeUnwrap(), emptyConfiguration);
	t.end();
});

const invalidCases: ReadonlyArray<readonly [string, unknown, string]> = [
	['a duplicate class', {...configuration, classes: [requestClass, requestClass]}, 'classes: "gate" stands twice'],
	['an endpoint of an unknown pool', {...configuration, pools: []}, 'endpoints: "e1" names the unknown pool "drafting"'],
	['a binding with an unknown class', {...configuration, classes: []}, 'bindings: "sawmill" names the unknown class "gate"'],
	['an API key shared by two accounts', {...configuration, accounts: [...configuration.accounts, {...configuration.accounts[0], name: 'depot'}]}, 'keyHashes:'],
	['floors above the maximum sum', {...configuration, classes: ['a', 'b'].map(name => ({...requestClass, name, floor: 0.2}))}, 'floors add up to 0.40'],
	['an unhashed API key', {...configuration, accounts: [{name: 'sawmill', keyHashes: ['secret']}]}, 'accounts.0.keyHashes.0: expected a SHA-256'],
	['an endpoint URL that is not HTTP', {...configuration, endpoints: [{...configuration.endpoints[0], url: 'file:///etc/passwd'}]}, 'endpoints.0.url'],
	['an unknown field', {...configuration, clases: []}, 'clases'],
];

for (const [name, input, words] of invalidCases) {
	test(`${name} is rejected with its location`, t => {
		const result = validateConfiguration(input);
		t.equal(result.isErr() && result.error.code, 'ERR_VALVESADDLE_CONFIGURATION_INVALID');
		t.match(result.isErr() && result.error.message, words);
		t.end();
	});
}

test('any input is either accepted or rejected with a typed error', t => {
	fc.assert(fc.property(fc.anything(), input => {
		const result = validateConfiguration(input);
		return result.isOk() || result.error.code === 'ERR_VALVESADDLE_CONFIGURATION_INVALID';
	}));
	fc.assert(fc.property(fc.oneof(fc.string(), fc.json()), text => {
		const result = parseRecord(text);
		return result.isOk() || result.error.code === 'ERR_VALVESADDLE_MESSAGE_INVALID';
	}));
	t.end();
});

test('a record is parsed as it was stored, compressed or plain', t => {
	const record = {
		revision: 3, changeId: 'c', author: 'iva', acceptedAt: 1, recentChanges: [{changeId: 'c', revision: 3}], configuration,
	};
	t.same(parseRecord(formatRecord(record))._unsafeUnwrap(), record);
	t.same(parseRecord(JSON.stringify(record))._unsafeUnwrap(), record);
	t.end();
});

const brokenRecords: ReadonlyArray<readonly [string, string]> = [
	['no data', 'gzip:'],
	['invalid base64', 'gzip:%%%'],
	['truncated data', formatRecord({
		revision: 3, changeId: 'c', author: 'iva', acceptedAt: 1, recentChanges: [], configuration,
	}).slice(0, 60)],
];

for (const [name, text] of brokenRecords) {
	test(`a compressed record that holds ${name} is rejected with a typed error`, t => {
		const result = parseRecord(text);
		t.equal(result.isErr() && result.error.code, 'ERR_VALVESADDLE_MESSAGE_INVALID');
		t.end();
	});
}

test('a comparison lists added, removed and replaced items', t => {
	const after: Configuration = {
		...configuration,
		classes: [{...requestClass, weight: 2}],
		endpoints: [{...configuration.endpoints[0]!, id: 'e2'}],
	};
	t.same(compareConfigurations(configuration, after), ['~ classes gate', '+ endpoints e2', '- endpoints e1']);
	t.same(compareConfigurations(configuration, configuration), []);
	t.end();
});

import {test} from 'tap';
import type {Configuration} from '@valvesaddle/types';
import {createAccessIndex, hashKey} from '@valvesaddle/access';

const classes = ['gate', 'route', 'estimate'].map((name, priority) => ({
	name, priority, urgent: priority === 0, firstTokenTargetMs: 1, maximumWaitMs: 1, weight: 1, floor: 0,
}));
const configuration: Configuration = {
	classes,
	accounts: [{
		name: 'sawmill', keyHashes: [hashKey('old-key'), hashKey('new-key')], weight: 1, maximumOpen: 0,
	}],
	pools: ['near', 'far'].map(region => ({
		name: `drafting.${region}`, kind: 'engine', model: region === 'near' ? 'drafting' : 'drafting', region, repeatable: true, interTokenTargetMs: 52, dispatchers: 1,
	})),
	endpoints: [],
	bindings: [
		{account: 'sawmill', pool: 'drafting.near', classes: ['route', 'gate', 'estimate']},
		{account: 'sawmill', pool: 'drafting.far', classes: ['estimate']},
	],
};
const index = createAccessIndex(configuration);

function resolve(region: string, className?: string): string {
	const access = index.resolve({
		account: 'sawmill', kind: 'engine', model: 'drafting', region, className,
	});
	return access.isOk() ? `${access.value.pool.name} ${access.value.requestClass.name}` : access.error.code;
}

const headers: ReadonlyArray<readonly [string | undefined, string]> = [
	['Bearer new-key', 'sawmill'],
	['bearer old-key', 'sawmill'],
	['Bearer wrong', 'ERR_VALVESADDLE_UNAUTHENTICATED'],
	['Basic bmV3LWtleQ==', 'ERR_VALVESADDLE_UNAUTHENTICATED'],
	['Bearer', 'ERR_VALVESADDLE_UNAUTHENTICATED'],
	[undefined, 'ERR_VALVESADDLE_UNAUTHENTICATED'],
];

for (const [header, expected] of headers) {
	test(`the header "${header ?? 'none'}" gives ${expected}`, t => {
		const account = index.authenticate(header);
		t.equal(account.isOk() ? account.value.name : account.error.code, expected);
		t.end();
	});
}

test('the pool in the node\'s region is preferred, and the binding\'s first class is the default', t => {
	t.equal(resolve('near'), 'drafting.near route');
	t.equal(resolve('far'), 'drafting.far estimate');
	t.end();
});

test('a caller may request a lower class of its binding, but no higher or unbound one', t => {
	t.equal(resolve('near', 'estimate'), 'drafting.near estimate');
	t.equal(resolve('near', 'gate'), 'ERR_VALVESADDLE_CLASS_NOT_ALLOWED');
	t.equal(resolve('far', 'route'), 'ERR_VALVESADDLE_CLASS_NOT_ALLOWED');
	t.end();
});

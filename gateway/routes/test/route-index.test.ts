import {test} from 'tap';
import type {GatewayConfiguration, Route} from '@valvesaddle/gateway-types';
import {createRouteIndex, hashApiKey} from '@valvesaddle/routes';

const base: Route = {
	name: 'base', host: 'permits.example', prefix: '/a/', kind: 'safe', timeoutMs: 1000, latencyObjectiveMs: 100, priority: 1, targets: [{pool: 'p', weight: 1}], maximumAttempts: 1, isPublic: false, isResumable: false, pauseObjectiveMs: 0,
};

const configuration: GatewayConfiguration = {
	version: 3,
	routes: [base, {...base, name: 'long', prefix: '/a/b/'}, {
		...base, name: 'open', prefix: '/open/', isPublic: true,
	}, {...base, name: 'other', host: 'Other.example'}],
	pools: [{name: 'p', engine: undefined}],
	limits: {
		headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
	},
	accounts: [{name: 'sawmill', keyHashes: [hashApiKey('key')], priority: 0}],
};

test('the longest matching prefix of the host is chosen', t => {
	const index = createRouteIndex(configuration);
	const cases: ReadonlyArray<readonly [host: string, path: string, name: string | undefined]> = [
		['permits.example', '/a/x', 'base'],
		['permits.example', '/a/b/x', 'long'],
		['permits.example', '/a/b', 'base'],
		['permits.example:8080', '/a/b/?q=/open/', 'long'],
		['PERMITS.example', '/a/', 'base'],
		['permits.example', '/a', undefined],
		['permits.example', '/', undefined],
		['permits.example', '/?x=/a/', undefined],
		['other.example', '/a/b/c', 'other'],
		['unknown.example', '/a/', undefined],
	];
	for (const [host, path, name] of cases) {
		t.equal(index.findRoute(host, path).map(route => route.name).unwrapOr(undefined as never), name, `${host}${path}`);
	}

	t.end();
});

test('a request needs the key of a client account, unless its route is public', t => {
	const index = createRouteIndex(configuration);
	t.equal(index.authenticate(base, 'key')._unsafeUnwrap()?.name, 'sawmill');
	for (const key of ['wrong', undefined]) {
		t.equal(index.authenticate(base, key)._unsafeUnwrapErr().code, 'ERR_VALVESADDLE_UNAUTHENTICATED');
		t.equal(index.authenticate({...base, isPublic: true}, key)._unsafeUnwrap(), undefined);
	}

	t.equal(createRouteIndex({...configuration, accounts: []}).authenticate(base, undefined)._unsafeUnwrap(), undefined);
	t.end();
});

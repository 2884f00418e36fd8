import {test, type Test} from 'tap';
import {emptyConfiguration} from '@valvesaddle/config-schema';
import {startFakeKv, type KvFault} from '@valvesaddle/fake-kv';
import {createKvClient} from '@valvesaddle/kv';
import {createMetrics} from '@valvesaddle/metrics';
import {createConfigStore, type Change} from '@valvesaddle/config-store';

async function startStore(t: Test) {
	const server = await startFakeKv();
	const kv = createKvClient({urls: [server.url], timeoutMs: 200, metrics: createMetrics()});
	t.teardown(async () => {
		await kv.close();
		await server.close();
	});
	return {server, store: createConfigStore(kv)};
}

function createChange(changeId: string, expectedRevision: number): Change {
	return {
		changeId, expectedRevision, author: 'iva', configuration: emptyConfiguration,
	};
}

test('of two changes to the same revision one is accepted and one gets a conflict', async t => {
	const {store} = await startStore(t);
	const results = await Promise.all([store.apply(createChange('iva-1', 0)), store.apply(createChange('ned-1', 0))]);
	t.equal(results.filter(result => result.isOk()).length, 1);
	const failed = results.find(result => result.isErr());
	t.equal(failed?.isErr() && failed.error.code, 'ERR_VALVESADDLE_CONFIGURATION_CONFLICT');
	t.equal((await store.read())._unsafeUnwrap()?.revision, 1);
});

test('a change based on another revision gets a conflict and changes nothing', async t => {
	const {store} = await startStore(t);
	await store.apply(createChange('one', 0));
	await store.apply(createChange('two', 1));
	for (const expectedRevision of [0, 1, 3]) {
		// eslint-disable-next-line no-await-in-loop -- writes are sequential
		const late = await store.apply(createChange(`late-${expectedRevision}`, expectedRevision));
		t.equal(late.isErr() && late.error.code, 'ERR_VALVESADDLE_CONFIGURATION_CONFLICT');
	}

	t.equal((await store.read())._unsafeUnwrap()?.changeId, 'two');
});

test('a repeated change returns its first revision and is applied once', async t => {
	const {store} = await startStore(t);
	await store.apply(createChange('one', 0));
	await store.apply(createChange('two', 1));
	t.equal((await store.apply(createChange('one', 0)))._unsafeUnwrap().revision, 1);
	t.equal((await store.read())._unsafeUnwrap()?.revision, 2);
});

const cases: ReadonlyArray<readonly [KvFault, string]> = [
	['drop-after', 'accepted'],
	['drop-before', 'ERR_VALVESADDLE_CONFIGURATION_UNKNOWN'],
	['late', 'ERR_VALVESADDLE_CONFIGURATION_UNKNOWN'],
	['refuse', 'ERR_VALVESADDLE_KV_UNAVAILABLE'],
];

for (const [fault, expected] of cases) {
	test(`a change whose write meets "${fault}" returns ${expected}; repeated, it is applied once`, async t => {
		const {server, store} = await startStore(t);
		server.failNextWrite(fault);
		const first = await store.apply(createChange('one', 0));
		t.equal(first.isOk() ? 'accepted' : first.error.code, expected);
		let again = await store.apply(createChange('one', 0));
		while (again.isErr() && again.error.code === 'ERR_VALVESADDLE_CONFIGURATION_CONFLICT') {
			// The delayed write was applied in between; the next call finds its id.
			// eslint-disable-next-line no-await-in-loop -- retries until the outcome is known
			again = await store.apply(createChange('one', 0));
		}

		t.equal(again._unsafeUnwrap().revision, 1);
		const record = (await store.read())._unsafeUnwrap();
		t.same([record?.revision, record?.recentChanges.length], [1, 1]);
	});
}

test('all earlier revisions can be read', async t => {
	const {store} = await startStore(t);
	for (let revision = 0; revision < 4; revision++) {
		// eslint-disable-next-line no-await-in-loop -- sequential
		await store.apply(createChange(`change-${revision + 1}`, revision));
	}

	for (let revision = 1; revision <= 4; revision++) {
		// eslint-disable-next-line no-await-in-loop -- sequential
		t.equal((await store.readRevision(revision))._unsafeUnwrap()?.changeId, `change-${revision}`);
	}

	t.equal((await store.readRevision(9))._unsafeUnwrap(), undefined);
});

import {Code, ConnectError} from '@connectrpc/connect';
import {test} from 'tap';
import {
	callNode,
	createChat,
	fleetKeys,
	startFleet,
	waitUntil,
	type Fleet,
} from '@valvesaddle/fake-fleet';
import {createOperatorClient} from '@valvesaddle/operator-client';

function connect(fleet: Fleet, node: number, token: string = fleetKeys.editor) {
	return createOperatorClient({url: `http://${fleet.nodes[node]!.operators}`, token});
}

function getRevisions(fleet: Fleet): readonly number[] {
	return fleet.nodes.map(({router}) => router.status().revision);
}

async function getCode(promise: Promise<unknown>): Promise<Code | undefined> {
	try {
		await promise;
		return undefined;
	} catch (error) {
		return ConnectError.from(error).code;
	}
}

test('of two concurrent changes at two nodes, one is accepted and one gets a conflict', async t => {
	const fleet = await startFleet({nodes: 2, engines: [{}]});
	t.teardown(fleet.close);
	const {configuration} = await connect(fleet, 0).getConfiguration({});
	const codes = await Promise.all([0, 1].map(async node => getCode(connect(fleet, node).applyConfiguration({
		changeId: `from-${node}`, expectedRevision: 1, configuration: configuration!,
	}))));
	t.same(new Set(codes), new Set([Code.Aborted, undefined]));
	await waitUntil(() => getRevisions(fleet).every(revision => revision === 2));
});

test('a dry run lists the differences and changes nothing', async t => {
	const fleet = await startFleet({nodes: 1, engines: [{}]});
	t.teardown(fleet.close);
	const {configuration} = await connect(fleet, 0).getConfiguration({});
	configuration!.endpoints.pop();
	const reply = await connect(fleet, 0).applyConfiguration({
		changeId: 'try', expectedRevision: 1, configuration: configuration!, dryRun: true,
	});
	t.same(reply.differences, ['- endpoints permits-1']);
	t.same(getRevisions(fleet), [1]);
});

test('an invalid configuration is rejected as a whole, with all errors listed', async t => {
	const fleet = await startFleet({nodes: 1, engines: [{}]});
	t.teardown(fleet.close);
	const {configuration} = await connect(fleet, 0).getConfiguration({});
	configuration!.pools = [];
	try {
		await connect(fleet, 0).applyConfiguration({changeId: 'bad', expectedRevision: 1, configuration: configuration!});
		t.fail('the configuration was accepted');
	} catch (error) {
		t.match(ConnectError.from(error), {code: Code.InvalidArgument, rawMessage: /unknown pool "drafting"[\s\S]*Hint: /v});
	}

	t.same(getRevisions(fleet), [1]);
});

const accessCases: ReadonlyArray<readonly [string, string, Code | undefined]> = [
	['an editor', fleetKeys.editor, undefined],
	['a viewer', fleetKeys.viewer, Code.PermissionDenied],
	['an unknown operator', 'wrong', Code.Unauthenticated],
];

for (const [operator, token, code] of accessCases) {
	test(`${operator} who applies a change is ${code === undefined ? 'accepted' : 'refused'}`, async t => {
		const fleet = await startFleet({nodes: 1, engines: [{}]});
		t.teardown(fleet.close);
		const {configuration} = await connect(fleet, 0, fleetKeys.viewer).getConfiguration({});
		t.equal(await getCode(connect(fleet, 0, token).applyConfiguration({changeId: 'c', expectedRevision: 1, configuration: configuration!})), code);
	});
}

test('a node that cannot reach the key-value service gets a change from its peers', async t => {
	const fleet = await startFleet({nodes: 3, engines: [{}]});
	t.teardown(fleet.close);
	const {configuration} = await connect(fleet, 0).getConfiguration({});
	// The service fails for all nodes after the reply, so that only the first node has the change.
	await connect(fleet, 0).applyConfiguration({changeId: 'two', expectedRevision: 1, configuration: configuration!});
	fleet.kv.setFault('refuse');
	await waitUntil(() => getRevisions(fleet).every(revision => revision === 2));
	t.same(getRevisions(fleet), [2, 2, 2]);
});

test('a node that starts while the key-value service is down gets the latest configuration from its peers and serves', async t => {
	const fleet = await startFleet({nodes: 2, engines: [{}]});
	t.teardown(fleet.close);
	await fleet.apply(configuration => configuration);
	fleet.kv.setFault('refuse');
	const added = await fleet.addNode();
	await waitUntil(() => added.router.status().state === 'ready');
	t.equal(added.router.status().revision, 2);
	t.equal((await callNode(added.callers, '/v1/chat/completions', {body: createChat(3)})).status, 200);
});

test('a node that starts without peers while the key-value service is down serves only after it reads the configuration', async t => {
	const fleet = await startFleet({nodes: 1, engines: [{}]});
	t.teardown(fleet.close);
	fleet.kv.setFault('refuse');
	await fleet.nodes[0]!.router.close();
	fleet.vmList.set([]);
	const added = await fleet.addNode();
	t.match(await callNode(added.callers, '/v1/chat/completions', {body: createChat(3)}), {status: 401});
	t.equal((await callNode(added.callers, '/readyz')).status, 503);
	fleet.kv.setFault(undefined);
	await waitUntil(async () => (await callNode(added.callers, '/readyz')).status === 200);
	t.equal((await callNode(added.callers, '/v1/chat/completions', {body: createChat(3)})).status, 200);
});

test('requests are served during an outage of the key-value service, and changes are accepted after it', async t => {
	const fleet = await startFleet({nodes: 2, engines: [{}]});
	t.teardown(fleet.close);
	fleet.kv.setFault('freeze');
	const {configuration} = await connect(fleet, 0).getConfiguration({});
	const refused = await getCode(connect(fleet, 0).applyConfiguration({changeId: 'during', expectedRevision: 1, configuration: configuration!}));
	t.equal(refused, Code.Unavailable);
	t.equal((await callNode(fleet.nodes[1]!.callers, '/v1/chat/completions', {body: createChat(3)})).status, 200);
	fleet.kv.setFault(undefined);
	const reply = await connect(fleet, 0).applyConfiguration({changeId: 'during', expectedRevision: 1, configuration: configuration!});
	t.equal(reply.revision, 2);
	await waitUntil(() => getRevisions(fleet).every(revision => revision === 2));
});

test('an isolated node refuses new requests until it is connected again', async t => {
	const fleet = await startFleet({nodes: 2, engines: [{}], settings: {peer: {gossip_ms: 30}}});
	t.teardown(fleet.close);
	const [first, second] = fleet.nodes;
	fleet.kv.setFault('refuse');
	await second!.router.close();
	await waitUntil(() => first!.router.status().state === 'isolated');
	t.match(await callNode(first!.callers, '/v1/chat/completions', {body: createChat(3)}), {status: 503, json: {error: {code: 'ERR_VALVESADDLE_NOT_READY', ran: 'no'}}});
	fleet.kv.setFault(undefined);
	await waitUntil(() => first!.router.status().state === 'ready');
	t.equal((await callNode(first!.callers, '/v1/chat/completions', {body: createChat(3)})).status, 200);
});

test('an earlier revision can be read and applied as a new one', async t => {
	const fleet = await startFleet({nodes: 1, engines: [{}]});
	t.teardown(fleet.close);
	await fleet.apply(configuration => ({...configuration, endpoints: configuration.endpoints.slice(1)}));
	const client = connect(fleet, 0);
	const first = await client.getRevision({revision: 1});
	t.equal(first.configuration?.endpoints.length, 2);
	const reply = await client.applyConfiguration({changeId: 'back', expectedRevision: 2, configuration: first.configuration!});
	t.equal(reply.revision, 3);
	t.same(reply.differences, ['+ endpoints engine-1']);
});

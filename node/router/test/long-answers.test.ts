/*
Guards against a long answer being sent to another node in one message, which delays the calls behind it and, above 2 MiB,
breaks the link.
*/
import {setTimeout as delay} from 'node:timers/promises';
import {test, type Test} from 'tap';
import {createAnswerLog, createAnswerStore} from '@valvesaddle/answers';
import {createMetrics} from '@valvesaddle/metrics';
import {createPeerNetwork, type PeerNetwork} from '@valvesaddle/network';
import {createAnswerReaders} from '../src/create-answer-readers.ts';
import {createPeerHandlers} from '../src/create-peer-handlers.ts';
import {createRemoteAnswer} from '../src/create-remote-answer.ts';

const requestId = 'b_1';
const account = 'sawmill';
const pageBytes = 64 * 1024;

/**
Numbered parts of an answer, about a kilobyte each; every second character takes three bytes.
*/
function createParts(count: number): readonly string[] {
	return Array.from({length: count}, (_, index) => JSON.stringify({content: `${index} ${'x→'.repeat(250)}`}));
}

async function startPair(t: Test, parts: readonly string[]) {
	const answers = createAnswerStore({retentionMs: 60_000, maximumCharacters: 100_000_000});
	const log = createAnswerLog({
		requestId, account, graceMs: 60_000, onAbandoned() {
			// Never abandoned.
		},
	});
	answers.add(log);
	for (const part of parts) {
		log.append(part);
	}

	const addresses = new Map<string, string>();
	const create = (node: string): PeerNetwork => createPeerNetwork({
		node, host: '127.0.0.1', port: 0, token: 'x', findAddress: name => addresses.get(name), linkTimeoutMs: 60_000, isCompressed: false, metrics: createMetrics(),
	});
	const a = create('a');
	const b = create('b');
	const handlers = createPeerHandlers({answers, readers: createAnswerReaders({silenceMs: 60_000})} as unknown as Parameters<typeof createPeerHandlers>[0]);
	addresses.set('a', await a.listen({}));
	addresses.set('b', await b.listen({
		...handlers,
		async 'dispatch.acquire'() {
			await delay(300);
			return 'granted';
		},
	}));
	const lost: string[] = [];
	a.events.on('lost', ({data}) => {
		lost.push(data.node);
	});
	t.teardown(async () => {
		answers.close();
		await a.close();
		await b.close();
	});
	return {
		network: a, log, lost, handlers,
	};
}

test('an answer longer than the maximum message is read completely, and breaks no other call on the link', async t => {
	const parts = createParts(4000);
	const {network, log, lost} = await startPair(t, parts);
	log.finish({kind: 'complete', finishReason: 'stop', tokens: parts.length});
	const acquiring = network.call('b', 'dispatch.acquire', {});
	const source = createRemoteAnswer({
		network, holder: 'b', requestId, account,
	});
	const read: string[] = [];
	let page = await source.read(0);
	read.push(...page.parts);
	while (page.end === undefined) {
		// eslint-disable-next-line no-await-in-loop -- one page after the other
		page = await source.read(read.length);
		read.push(...page.parts);
	}

	t.same(page.end, {kind: 'complete', finishReason: 'stop', tokens: parts.length});
	t.equal(read.length, parts.length);
	t.ok(read.every((part, index) => part === parts[index]));
	const acquired = await acquiring;
	t.ok(acquired.isOk(), acquired.isErr() ? acquired.error.message : '');
	t.same(lost, []);
});

test('a page has at most 64 KiB, and only the last one has the end', async t => {
	const parts = createParts(200);
	const {log, handlers} = await startPair(t, parts);
	log.finish({kind: 'complete', finishReason: 'stop', tokens: 200});
	const counts: number[] = [];
	for (let offset = 0; offset < parts.length;) {
		// eslint-disable-next-line no-await-in-loop -- one page after the other
		const page = await handlers['answer.read']?.({requestId, account, offset}, 'a') as Awaited<ReturnType<typeof log.read>>;
		const bytes = new TextEncoder().encode(page.parts.join('')).length;
		t.ok(bytes <= pageBytes, `${bytes} bytes`);
		offset += page.parts.length;
		t.equal(page.end !== undefined, offset === parts.length);
		counts.push(page.parts.length);
		if (page.parts.length === 0) {
			break;
		}
	}

	t.ok(counts.length < 6, `${counts.length} pages, each nearly full`);
});

test('a part longer than a page is sent in a page of its own, and a read after the last part returns the end', async t => {
	const long = JSON.stringify({content: 'x'.repeat(100_000)});
	const {log, handlers} = await startPair(t, ['1', long, '2']);
	const pages = [];
	log.finish({kind: 'complete', finishReason: 'stop', tokens: 3});
	for (const offset of [0, 1, 2, 3]) {
		// eslint-disable-next-line no-await-in-loop -- one page after the other
		pages.push(await handlers['answer.read']?.({requestId, account, offset}, 'a'));
	}

	t.match(pages, [{parts: ['1'], end: undefined}, {parts: [long], end: undefined}, {parts: ['2'], end: {kind: 'complete'}}, {parts: [], end: {kind: 'complete'}}]);
});

import {Clock} from 'clock-mock';
import {test} from 'tap';
import {waitUntil} from '@valvesaddle/fake-fleet';
import {createAnswerLog, createAnswerStore, type AnswerEnd} from '@valvesaddle/answers';

const complete: AnswerEnd = {kind: 'complete', finishReason: 'stop', tokens: 2};

function createLog(requestId = 'n1_1', onAbandoned: () => void = () => undefined) {
	return createAnswerLog({
		requestId, account: 'sawmill', graceMs: 1000, onAbandoned,
	});
}

test('each reader gets all parts from its offset on, and the end', async t => {
	const log = createLog();
	const pending = log.read(0);
	log.append('a');
	t.same(await pending, {parts: ['a'], end: undefined});
	log.append('b');
	log.finish(complete);
	t.same(await log.read(0), {parts: ['a', 'b'], end: complete});
	t.same(await log.read(1), {parts: ['b'], end: complete});
	t.same(await log.read(2), {parts: [], end: complete});
});

test('parts and ends after the first end are ignored', async t => {
	const log = createLog();
	log.finish(complete);
	log.append('late');
	log.finish({...complete, tokens: 99});
	t.same(await log.read(0), {parts: [], end: complete});
});

test('an answer is abandoned only after the grace time without a reader', t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	let abandoned = 0;
	const log = createLog('n1_1', () => {
		abandoned++;
	});
	log.attach();
	log.attach();
	log.detach();
	clock.advance(2000);
	t.equal(abandoned, 0);
	log.detach();
	clock.advance(500);
	log.attach();
	clock.advance(2000);
	t.equal(abandoned, 0);
	log.detach();
	clock.advance(1000);
	t.equal(abandoned, 1);
	t.end();
});

test('ended answers are removed by age and size, open ones are kept', t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const store = createAnswerStore({retentionMs: 10_000, maximumCharacters: 10});
	const logs = ['open', 'first', 'second'].map(id => createLog(id));
	for (const log of logs) {
		store.add(log);
	}

	logs[1]!.append('123456');
	logs[1]!.finish(complete);
	clock.advance(1500);
	logs[2]!.append('123456');
	logs[2]!.finish(complete);
	clock.advance(1000);
	t.equal(store.find('first'), undefined);
	t.ok(store.find('second'));
	clock.advance(11_000);
	t.equal(store.find('second'), undefined);
	t.ok(store.find('open'));
	t.same(store.openIds(), ['open']);
	store.close();
	t.end();
});

test('a kept answer does not expire when the time of day jumps ahead', async t => {
	const {now} = Date;
	const store = createAnswerStore({retentionMs: 600_000, maximumCharacters: 100});
	t.teardown(() => {
		Date.now = now;
		store.close();
	});
	const [kept, evicted] = [createLog('n1_kept'), createLog('n1_evicted')];
	evicted.append('x'.repeat(101));
	for (const log of [kept, evicted]) {
		store.add(log);
	}

	evicted.finish(complete);
	kept.finish(complete);
	Date.now = () => now() + 3_600_000;
	await waitUntil(() => store.find('n1_evicted') === undefined);
	t.equal(store.find('n1_kept'), kept);
});

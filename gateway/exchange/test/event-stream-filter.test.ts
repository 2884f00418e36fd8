import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import {test} from 'tap';
import {createEventStreamFilter} from '@valvesaddle/exchange';

function formatEvent(id: number): string {
	return `id: ${id}\ndata: piece ${id}\n\n`;
}

const whole = [0, 1, 2, 3, 4, 5].map(id => formatEvent(id)).join('');

test('events come out whole, once and in order, however their bytes are cut', t => {
	fc.assert(fc.property(fc.array(fc.integer({min: 1, max: whole.length - 1}), {maxLength: 12}), cuts => {
		const relay = createEventStreamFilter(-1);
		const places = [0, ...cuts.toSorted((a, b) => a - b), whole.length];
		const text = places.slice(1).map((end, index) => String(Buffer.from(relay.push(Buffer.from(whole.slice(places[index], end)))))).join('');
		return text === whole && relay.lastEventId() === 5 && !relay.hasPartialEvent();
	}));
	t.end();
});

test('a second run goes on after the last whole event: a half one is dropped and none comes twice', t => {
	fc.assert(fc.property(fc.integer({min: 0, max: whole.length}), fc.integer({min: 0, max: 2}), (cut, again) => {
		const relay = createEventStreamFilter(-1);
		const first = String(Buffer.from(relay.push(Buffer.from(whole.slice(0, cut)))));
		relay.restart();
		const from = Math.max(0, relay.lastEventId() + 1 - again);
		const rest = [0, 1, 2, 3, 4, 5].slice(from).map(id => formatEvent(id)).join('');
		return first + String(Buffer.from(relay.push(Buffer.from(rest)))) === whole;
	}));
	t.end();
});

test('a stream that the caller takes up itself goes on after its event', t => {
	const relay = createEventStreamFilter(3);
	t.equal(String(Buffer.from(relay.push(Buffer.from(whole)))), formatEvent(4) + formatEvent(5));
	t.end();
});

import {test} from 'tap';
import {listRequestLines} from '../src/list-request-lines.ts';

function formatLine(time: number, request: string, message: string): string {
	return JSON.stringify({time, request, msg: message});
}

test('lists the lines of one request from all nodes in order of time', t => {
	const first = `-11.5 node-a ${formatLine(3, 'r1', 'request-sent')}\n${formatLine(1, 'r2', 'request-admitted')}\nno object with r1\n`;
	const second = `${formatLine(2, 'r1', 'request-admitted')}\n${formatLine(9, 'r11', 'request-ended')}\n${formatLine(4, 'r1', 'request-ended')}`;
	t.same(listRequestLines('r1', [first, second]), [
		formatLine(2, 'r1', 'request-admitted'), formatLine(3, 'r1', 'request-sent'), formatLine(4, 'r1', 'request-ended'),
	]);
	t.end();
});

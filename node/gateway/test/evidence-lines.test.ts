/*
Ejections on the evidence of all nodes, and rejected load updates, are logged.
*/
import {test} from 'tap';
import type {LogEvent} from '@valvesaddle/logger';
import {createMetrics} from '@valvesaddle/metrics';
import {createEjectionRecorder} from '../src/create-ejection-recorder.ts';
import {createLoadUpdateHandler} from '../src/create-load-update-handler.ts';
import {parseLoadUpdate} from '../src/parse-load-update.ts';

function createLines() {
	const lines: LogEvent[] = [];
	const write = (line: LogEvent): void => {
		lines.push(line);
	};

	return {lines, logger: {info: write, warn: write}};
}

test('an ejection is logged with its evidence and counted by its reason, a return is logged', t => {
	const {lines, logger} = createLines();
	const metrics = createMetrics();
	const record = createEjectionRecorder({logger, metrics});
	const notice = {
		endpoint: 'i-1', pool: 'p', answers: 11.6, failures: 9.36, nodes: 62,
	};
	record({...notice, reason: 'failing'});
	record({...notice, reason: 'returned'});
	t.same(lines, [
		{
			name: 'endpoint-ejected', endpoint: 'i-1', pool: 'p', reason: 'failing', answers: 12, failures: 9, nodes: 62,
		},
		{
			name: 'endpoint-returned', endpoint: 'i-1', pool: 'p', answers: 12, nodes: 62,
		},
	]);
	t.equal(metrics.total('gateway.ejected'), 1);
	t.end();
});

test('an update with negative or huge counts changes nothing and is logged', t => {
	const {lines, logger} = createLines();
	const applied: unknown[] = [];
	const handle = createLoadUpdateHandler({
		logger, loadSync: {
			applyLoadUpdate(parameters) {
				applied.push(parseLoadUpdate(parameters));
			},
		},
	});
	for (const failures of [-1, 1e12]) {
		t.throws(() => {
			handle({
				nodes: 1, loads: [['i-1', 0, [], 0, 0, 0, 0, 0]], placements: [], evidence: [[0, 1, failures, 0, 0]],
			}, 'n2');
		});
	}

	t.same(applied, []);
	t.match(lines, [{name: 'load-update-rejected', peer: 'n2', reason: /evidence/v}, {name: 'load-update-rejected', peer: 'n2'}]);
	t.end();
});

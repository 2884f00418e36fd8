import fc from 'fast-check';
import {test} from 'tap';
import {errorTable, ValvesaddleError, type ErrorCode} from '@valvesaddle/error';
import {decideNextStep} from '../src/decide-next-step.ts';
import type {Job} from '../src/job.ts';
import {toErrorEnd} from '../src/to-error-end.ts';

const codes = Object.keys(errorTable) as ErrorCode[];
const job: Job = {
	requestId: 'n1_1',
	account: 'sawmill',
	pool: {
		name: 'drafting', kind: 'engine', model: 'drafting', region: 'r', repeatable: true, interTokenTargetMs: 52, dispatchers: 1,
	},
	requestClass: {
		name: 'gate', priority: 0, urgent: true, firstTokenTargetMs: 1, maximumWaitMs: 1, weight: 1, floor: 0,
	},
	session: undefined,
	promptTokens: 1,
	claim: undefined,
	trace: {},
	arrivedAt: 0,
	work: {kind: 'engine', body: {}},
};
const claimed: Job = {...job, claim: {key: 'permit-1', fingerprint: 'f'}};

function decide(code: ErrorCode, part: {readonly job?: Job; readonly tokens?: number; readonly isPlainText?: boolean; readonly attempts?: number; readonly hasBudget?: boolean} = {}) {
	return decideNextStep({
		error: new ValvesaddleError(code, ''),
		job: part.job ?? job,
		progress: {
			text: '', tokens: part.tokens ?? 0, isPlainText: part.isPlainText ?? true, firstTokenAt: undefined,
		},
		attempts: part.attempts ?? 1,
		withdrawRetry: () => part.hasBudget ?? true,
	});
}

test('a claimed request that may have run is never sent again, whatever the error', t => {
	fc.assert(fc.property(fc.constantFrom(...codes), fc.nat(10), fc.boolean(), fc.nat(6), (code, tokens, isPlainText, attempts) => {
		const next = decide(code, {
			job: claimed, tokens, isPlainText, attempts,
		});
		return next === 'end' || errorTable[code].ran === 'no';
	}));
	t.end();
});

test('a retry needs budget before the first token and none after it', t => {
	t.equal(decide('ERR_VALVESADDLE_ENDPOINT_FAILED', {hasBudget: false}), 'end');
	t.equal(decide('ERR_VALVESADDLE_ENDPOINT_FAILED', {hasBudget: true}), 'retry');
	t.equal(decide('ERR_VALVESADDLE_ENDPOINT_FAILED', {hasBudget: false, tokens: 5}), 'retry');
	t.equal(decide('ERR_VALVESADDLE_ENDPOINT_NOT_RUN', {hasBudget: false}), 'retry');
	t.end();
});

test('an answer that is not plain text cannot be continued at another endpoint', t => {
	t.equal(decide('ERR_VALVESADDLE_ENDPOINT_FAILED', {tokens: 5, isPlainText: false}), 'end');
	t.end();
});

test('the number of attempts is limited', t => {
	t.equal(decide('ERR_VALVESADDLE_ENDPOINT_NOT_RUN', {attempts: 5}), 'end');
	t.end();
});

test('no error of a request that may have run has a code that means "not run"', t => {
	fc.assert(fc.property(fc.constantFrom(...codes), fc.constantFrom('maybe', 'yes'), fc.boolean(), (code, ran, isClaimed) => {
		const end = toErrorEnd(new ValvesaddleError(code, ''), {state: 'failed', ran}, isClaimed ? claimed : job);
		return end.kind === 'error' && end.ran === ran && errorTable[end.code].ran !== 'no';
	}));
	t.end();
});
